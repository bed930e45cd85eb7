#include "mesh/admission.hpp"

#include "core/digest.hpp"
#include "retry/crash_log.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace dragonflyroad {
namespace {

/// Time reserved for the answer to reach the caller before its deadline; delivery takes up to 8 ms.
constexpr std::chrono::milliseconds response_delivery_margin{20};

std::string header_or_empty(const http_headers& headers, std::string_view name)
{
    return std::string{find_header(headers, name).value_or("")};
}

std::optional<std::chrono::milliseconds> parse_milliseconds(std::string_view text)
{
    std::int64_t count = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc{} || end != text.data() + text.size() || count < 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds{count};
}

/// Returns the organisation that the request's key belongs to, or the reason for a refusal.
std::variant<organisation_id, refusal_reason> identify_organisation(const http_headers& headers,
                                                                    const admission_context& view,
                                                                    const header_names& names)
{
    const auto key = find_header(headers, names.key);
    if (!key) {
        return view.is_current ? refusal_reason::key_missing : refusal_reason::key_unverified;
    }
    if (!view.may_trust_keys) {
        return refusal_reason::key_unverified;
    }
    const organisation_id* owner = view.table->find_key_owner(sha256_hex(*key));
    if (owner == nullptr) {
        return view.is_current ? refusal_reason::key_unknown : refusal_reason::key_unverified;
    }
    return *owner;
}

} // namespace

admission_result admit(http_request request, time_point arrived, const admission_context& view,
                       const header_names& names, random_engine& random)
{
    admitted_request accepted;
    accepted.id = header_or_empty(request.head.headers, names.request_id);
    const auto refuse = [&](refusal_reason reason, std::string detail) {
        return admission_refusal{reason, accepted.id, std::move(detail),
                                 view.table == nullptr ? 0 : view.table->revision()};
    };
    if (const auto fault = find_request_head_error(request.head)) {
        return refuse(refusal_reason::malformed_request, *fault);
    }
    if (view.table == nullptr) {
        return refuse(refusal_reason::configuration_missing, "");
    }
    if (view.is_stopping) {
        return refuse(refusal_reason::node_stopping, "");
    }
    const route_rule* route =
        view.table->match(header_or_empty(request.head.headers, "Host"), request.head.target);
    if (route == nullptr || route->services.empty()) {
        return view.is_current ? refuse(refusal_reason::route_unknown, "")
                               : refuse(refusal_reason::configuration_missing,
                                        "the configuration may be out of date");
    }
    accepted.route = *route;
    const bool has_key = find_header(request.head.headers, names.key).has_value();
    const organisation_rule* rule = nullptr;
    if (view.table->has_organisations() && !route->is_public) {
        auto owner = identify_organisation(request.head.headers, view, names);
        if (const auto* reason = std::get_if<refusal_reason>(&owner)) {
            return refuse(*reason, "");
        }
        accepted.organisation = std::get<organisation_id>(std::move(owner));
        rule = view.table->find_organisation(accepted.organisation);
    }
    accepted.needs_quota = rule != nullptr && rule->limit.is_limited();
    // Calls made by upstreams carry no key, so where keys are in use a request without one counts
    // as such a call.
    accepted.rank.is_new_request = has_key || !view.table->has_organisations();
    accepted.rank.organisation_priority = rule != nullptr ? rule->priority.value_or(0) : 0;
    accepted.rank.route_priority = route->priority;
    accepted.service = choose_service(*route, random);
    accepted.caller_service = view.caller_service;
    accepted.arrived = arrived;
    accepted.revision = view.table->revision();
    const auto requested =
        parse_milliseconds(find_header(request.head.headers, names.deadline).value_or(""))
            .value_or(route->timeout);
    const auto bounded =
        route->timeout.count() > 0 ? std::min(requested, route->timeout) : requested;
    accepted.deadline = arrived + bounded - response_delivery_margin;
    accepted.caller_deadline = arrived + requested;
    accepted.fingerprint =
        request_fingerprint(accepted.organisation, header_or_empty(request.head.headers, "Host"),
                            request.head.method, request.head.target, request.body);
    accepted.request = std::move(request);
    return accepted;
}

} // namespace dragonflyroad
