#pragma once

#include "adapters/http_exchange.hpp"
#include "adapters/rpc_server.hpp"

namespace dragonflyroad {

/// Handles a request on the peer port, which is a JSON-RPC call signed with the fleet secret.
void handle_peer_request(rpc_server& methods, http_exchange& exchange);

} // namespace dragonflyroad
