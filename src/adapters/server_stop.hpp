#pragma once

#include "adapters/address.hpp"

struct mg_context;

namespace dragonflyroad {

/// Stops a CivetWeb server and waits for its handlers. CivetWeb's accepting thread notices a stop
/// only every 2 s unless a connection arrives, so this also connects to the listening address.
void stop_server(mg_context* server, const ip_address& listening);

} // namespace dragonflyroad
