#pragma once

#include "adapters/rpc_server.hpp"

#include <CivetServer.h>

namespace dragonflyroad {

/// Passes POST requests of a CivetWeb server to an rpc_server. Without reading the body, responds
/// with 411 if Content-Length is missing and with 413 if it exceeds max_rpc_call_bytes.
class rpc_civet_handler : public CivetHandler {
public:
    explicit rpc_civet_handler(rpc_server& target) : server(target) {}

    bool handlePost(CivetServer* civet, mg_connection* connection) override;

private:
    rpc_server& server;
};

} // namespace dragonflyroad
