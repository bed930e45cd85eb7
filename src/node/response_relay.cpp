#include "node/response_relay.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

/// Maximum bytes read from the body of a "not run" response. If it is longer, the connection is
/// closed instead.
constexpr std::size_t max_discarded_bytes = 64U << 10U;

} // namespace

response_relay::response_relay(http_exchange& client, const std::string& request_id,
                               std::function<void()> on_first_byte)
    : exchange(client), id(request_id), first_byte_callback(std::move(on_first_byte))
{
}

bool response_relay::on_head(const response_head& head)
{
    this->first_byte_callback();
    this->head_status = head.status;
    const auto mark = find_header(head.headers, "X-Not-Run");
    this->not_run = head.status == 503 && mark && equal_ignoring_case(*mark, "true");
    if (this->not_run) {
        return true;
    }
    response_head response{head.status, end_to_end_headers(head.headers), head.length};
    std::erase_if(response.headers, [](const http_header& header) {
        return equal_ignoring_case(header.name, "X-Request-Id") ||
               equal_ignoring_case(header.name, "X-Not-Run");
    });
    response.headers.push_back({"X-Request-Id", this->id});
    this->exchange.begin(response);
    return true;
}

bool response_relay::on_body(std::string_view bytes)
{
    if (this->not_run) {
        this->discarded_bytes += bytes.size();
        return this->discarded_bytes <= max_discarded_bytes;
    }
    this->lost_client = !this->exchange.write(bytes);
    return !this->lost_client;
}

void response_relay::finish()
{
    this->lost_client = !this->exchange.finish();
}

} // namespace dragonflyroad
