#include "node/answer_relay.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

/// A longer body of a "not run" answer is not read to its end; the connection is closed instead.
constexpr std::size_t max_held_back = 64U << 10U;

} // namespace

answer_relay::answer_relay(http_exchange& client, const std::string& request_id,
                           std::function<void()> on_first_byte)
    : exchange(client), id(request_id), first_byte(std::move(on_first_byte))
{
}

bool answer_relay::on_head(const response_head& head)
{
    this->first_byte();
    this->head_status = head.status;
    const auto mark = find_header(head.headers, "X-Not-Run");
    this->not_run = head.status == 503 && mark && equal_ignoring_case(*mark, "true");
    if (this->not_run) {
        return true;
    }
    response_head answer{head.status, end_to_end_headers(head.headers), head.length};
    std::erase_if(answer.headers, [](const http_header& header) {
        return equal_ignoring_case(header.name, "X-Request-Id") ||
               equal_ignoring_case(header.name, "X-Not-Run");
    });
    answer.headers.push_back({"X-Request-Id", this->id});
    this->exchange.begin(answer);
    return true;
}

bool answer_relay::on_body(std::string_view bytes)
{
    if (this->not_run) {
        this->held_back += bytes.size();
        return this->held_back <= max_held_back;
    }
    this->lost_client = !this->exchange.write(bytes);
    return !this->lost_client;
}

void answer_relay::finish()
{
    this->lost_client = !this->exchange.finish();
}

} // namespace dragonflyroad
