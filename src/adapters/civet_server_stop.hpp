#pragma once

#include "adapters/address.hpp"

struct mg_context;

namespace dragonflyroad {

/// Stops a CivetWeb server and waits for its handlers. Also connects to the listening address,
/// because without a new connection CivetWeb's accepting thread checks for a stop only every 2 s.
void stop_civet_server(mg_context* server, const ip_address& listening);

} // namespace dragonflyroad
