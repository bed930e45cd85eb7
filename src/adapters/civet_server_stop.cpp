#include "adapters/civet_server_stop.hpp"

#include <chrono>
#include <civetweb.h>
#include <future>
#include <httplib.h>

namespace dragonflyroad {

void stop_civet_server(mg_context* server, const ip_address& listening)
{
    constexpr std::chrono::milliseconds retry_interval{5};
    const auto stopped = std::async(std::launch::async, mg_stop, server);
    // Connects repeatedly, because a connection that arrives before mg_stop() has set its stop flag
    // does not end the accepting thread.
    do {
        httplib::Client client{listening.ip, listening.port};
        client.set_connection_timeout(retry_interval);
        client.set_read_timeout(retry_interval);
        client.Get("/");
    } while (stopped.wait_for(retry_interval) != std::future_status::ready);
}

} // namespace dragonflyroad
