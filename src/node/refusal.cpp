#include "node/refusal.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dragonflyroad {
namespace {

std::string seconds_text(std::chrono::milliseconds time)
{
    const bool is_whole = time.count() % 1000 == 0;
    return is_whole ? std::to_string(time.count() / 1000)
                    : fmt::format("{:.3f}", static_cast<double>(time.count()) / 1000);
}

} // namespace

http_headers refusal_headers(const refusal& refused, const std::string& id)
{
    http_headers headers{{"Content-Type", "application/problem+json"}, {"X-Request-Id", id}};
    if (refused.retry_after) {
        headers.push_back({"Retry-After", seconds_text(*refused.retry_after)});
    }
    if (describe(refused.reason).status == 401) {
        headers.push_back({"WWW-Authenticate", "Bearer"});
    }
    return headers;
}

std::string refusal_body(const refusal& refused, const std::string& id)
{
    const refusal_description& description = describe(refused.reason);
    nlohmann::ordered_json body;
    body["type"] = "urn:dragonflyroad:refusal:" + std::string{description.code};
    body["title"] = description.title;
    body["status"] = description.status;
    body["reason"] = description.code;
    body["decided_by"] = to_code(description.decided_by);
    if (description.decided_by == decision_source::policy) {
        if (refused.profile) {
            body["profile"] = refused.profile->value;
        }
        body["revision"] = refused.revision;
    }
    body["ran"] = to_code(refused.executed);
    body["id"] = id;
    if (!refused.detail.empty()) {
        body["detail"] = refused.detail;
    }
    return body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace dragonflyroad
