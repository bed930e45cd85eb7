#pragma once

#include "adapters/http_server.hpp"
#include "adapters/transport.hpp"

#include <functional>
#include <string>

namespace dragonflyroad {

/// Streams the response of one attempt to the client. A response that says that the request was not
/// run is discarded, so that the request can be retried on another upstream.
class response_relay : public response_receiver {
public:
    /// `on_first_byte` is called when the response head has arrived.
    response_relay(http_exchange& client, const std::string& request_id,
                   std::function<void()> on_first_byte);

    bool on_head(const response_head& head) override;
    bool on_body(std::string_view bytes) override;

    /// Sends the end of the response.
    void finish();

    int status() const { return this->head_status; }
    bool is_not_run() const { return this->not_run; }
    /// Whether the client disconnected before the response was complete.
    bool has_lost_client() const { return this->lost_client; }

private:
    http_exchange& exchange;
    const std::string& id;
    std::function<void()> first_byte_callback;
    int head_status = 0;
    bool not_run = false;
    bool lost_client = false;
    std::size_t discarded_bytes = 0;
};

} // namespace dragonflyroad
