#include "node/admin_port.hpp"

#include "core/failure.hpp"
#include "node/announcements.hpp"

#include <nlohmann/json.hpp>

namespace dragonflyroad {
namespace {

constexpr std::uint64_t max_announcement_bytes = 4'096;

void send_error(http_exchange& exchange, int status, const std::string& detail)
{
    const nlohmann::ordered_json body{{"type", "about:blank"},
                                      {"title", status_phrase(status)},
                                      {"status", status},
                                      {"detail", detail}};
    exchange.send(status, {{"Content-Type", "application/problem+json"}},
                  body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

} // namespace

void admin_port::handle(http_exchange& exchange)
{
    const request_head& head = exchange.head();
    const std::string upstream_prefix = "/v1/upstreams/";
    const std::string explain_prefix = "/v1/explain/";
    if (exchange.head_error() != request_head_error::none) {
        send_error(exchange, 400, exchange.head_error_detail());
    }
    else if (head.method == "POST" && head.target == "/v1/upstreams") {
        this->announce(exchange);
    }
    else if (head.method == "DELETE" && head.target.starts_with(upstream_prefix)) {
        this->deregister(exchange, head.target.substr(upstream_prefix.size()));
    }
    else if (head.method == "GET" && head.target == "/metrics") {
        exchange.send(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                      this->deps.counters.to_prometheus());
    }
    else if (head.method == "GET" && head.target == "/v1/status") {
        exchange.send(200, {{"Content-Type", "application/json"}}, this->deps.status());
    }
    else if (head.method == "GET" && head.target.starts_with(explain_prefix)) {
        this->explain(exchange, head.target.substr(explain_prefix.size()));
    }
    else {
        send_error(exchange, 404, "no such resource");
    }
}

void admin_port::announce(http_exchange& exchange)
{
    std::string body;
    if (exchange.read_body(max_announcement_bytes, body) != body_outcome::complete) {
        send_error(exchange, 400, "the body is incomplete or too large");
        return;
    }
    const auto upstream = parse_announcement(body);
    if (!upstream) {
        send_error(exchange, 400, last_failure().detail);
        return;
    }
    this->deps.members.announce(*upstream, boot_clock::now());
    exchange.send(200, {{"Content-Type", "application/json"}}, "{}");
}

void admin_port::deregister(http_exchange& exchange, const std::string& address)
{
    this->deps.members.deregister(upstream_id{address}, boot_clock::now());
    exchange.send(200, {{"Content-Type", "application/json"}}, "{}");
}

void admin_port::explain(http_exchange& exchange, const std::string& id)
{
    const auto record = this->deps.explanations.find(id);
    if (!record) {
        send_error(exchange, 404, "this node has no record of the request");
        return;
    }
    exchange.send(200, {{"Content-Type", "application/json"}}, to_json(*record));
}

} // namespace dragonflyroad
