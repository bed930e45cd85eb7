#pragma once

#include "adapters/http_server.hpp"
#include "adapters/transport.hpp"

#include <functional>
#include <string>

namespace dragonflyroad {

/// Passes the answer of one attempt on to the client while it arrives. An answer that says the
/// request was not run is held back, so that the request can be tried elsewhere.
class answer_relay : public answer_receiver {
public:
    /// `on_first_byte` is called when the head has arrived.
    answer_relay(http_exchange& client, const std::string& request_id,
                 std::function<void()> on_first_byte);

    bool on_head(const response_head& head) override;
    bool on_body(std::string_view bytes) override;

    /// Sends the end of the answer.
    void finish();

    int status() const { return this->head_status; }
    bool is_not_run() const { return this->not_run; }
    /// The client stopped taking the answer.
    bool has_lost_client() const { return this->lost_client; }

private:
    http_exchange& exchange;
    const std::string& id;
    std::function<void()> first_byte;
    int head_status = 0;
    bool not_run = false;
    bool lost_client = false;
    std::size_t held_back = 0;
};

} // namespace dragonflyroad
