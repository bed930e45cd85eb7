#pragma once

#include "adapters/rpc_server.hpp"

#include <CivetServer.h>

namespace dragonflyroad {

/// Passes POST requests of a CivetWeb server to an rpc_server. Bodies without a Content-Length get
/// 411, longer ones than max_rpc_call_bytes 413, both before anything is read.
class rpc_civet_handler : public CivetHandler {
public:
    explicit rpc_civet_handler(rpc_server& target) : server(target) {}

    bool handlePost(CivetServer* civet, mg_connection* connection) override;

private:
    rpc_server& server;
};

} // namespace dragonflyroad
