#include "node/pipeline.hpp"

#include "adapters/log.hpp"
#include "core/digest.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace dragonflyroad {
namespace {

/// Maximum length of an Idempotency-Key in bytes. Claims are kept in memory for the repeat window;
/// fleet_claims keeps a digest of fixed size instead of the key.
constexpr std::size_t max_idempotency_key = 256;

refusal make_refusal(refusal_reason reason, std::string detail = {})
{
    return {reason, ran::no, std::move(detail), {}, 0, {}};
}

/// Matches a prefix at a segment boundary: "/marks" matches "/marks" and "/marks/1" but not
/// "/marksheet".
bool prefix_matches(const std::string& prefix, const std::string& path)
{
    return path.starts_with(prefix) &&
           (path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/');
}

const route* find_longest_route(const configuration& config, const std::string& path)
{
    const route* best = nullptr;
    for (const auto& [name, candidate] : config.routes) {
        if (prefix_matches(candidate.path_prefix, path) &&
            (best == nullptr || candidate.path_prefix.size() > best->path_prefix.size())) {
            best = &candidate;
        }
    }
    return best;
}

std::optional<std::string_view> bearer_key(std::string_view authorization)
{
    constexpr std::string_view scheme = "Bearer ";
    if (authorization.size() <= scheme.size() ||
        !equal_ignoring_case(authorization.substr(0, scheme.size()), scheme)) {
        return std::nullopt;
    }
    authorization.remove_prefix(authorization.find_first_not_of(' ', scheme.size()) ==
                                        std::string_view::npos
                                    ? authorization.size()
                                    : authorization.find_first_not_of(' ', scheme.size()));
    return authorization.empty() ? std::nullopt : std::optional{authorization};
}

} // namespace

const std::array<pipeline::stage, 9> pipeline::stages{{
    {"validate", &pipeline::validate},
    {"authenticate", &pipeline::authenticate},
    {"route", &pipeline::find_route},
    {"freshness", &pipeline::check_freshness},
    {"body", &pipeline::read_body},
    {"crash", &pipeline::check_crashes},
    {"claim", &pipeline::claim},
    {"rate", &pipeline::check_rate},
    {"forward", &pipeline::forward},
}};

pipeline::pipeline(pipeline_dependencies given)
    : deps(std::move(given)),
      upstream_forwarder(this->deps.upstream_client, this->deps.decisions, this->deps.counters)
{
}

void pipeline::handle(http_exchange& exchange)
{
    request_context context{exchange};
    context.arrival_time = boot_clock::now();
    context.id = this->next_id();
    this->deps.counters.count_request();
    const outcome refused = this->run_stages(context);
    if (context.claim) {
        this->complete_claim(context);
    }
    if (context.is_crash_trial && !context.has_crashed && context.executed == ran::yes) {
        this->deps.decisions.crash->record_trial_success(context.fingerprint, boot_clock::now());
    }
    if (refused) {
        this->send_refusal(context, refused);
    }
    const duration elapsed = boot_clock::now() - context.arrival_time;
    this->deps.counters.record_latency(elapsed);
    this->deps.counters.record_added_latency(elapsed - context.upstream_time);
    this->record_explanation(context, refused);
}

pipeline::outcome pipeline::run_stages(request_context& context)
{
    for (const stage& next : stages) {
        if (outcome refused = (this->*next.run)(context)) {
            context.steps.push_back(fmt::format("refused_by={}", next.name));
            return refused;
        }
    }
    return std::nullopt;
}

pipeline::outcome pipeline::validate(request_context& context)
{
    const http_exchange& exchange = context.exchange;
    if (exchange.head_error() != request_head_error::none) {
        const bool is_large = exchange.head_error() == request_head_error::header_too_large;
        return make_refusal(is_large ? refusal_reason::header_too_large
                                     : refusal_reason::malformed_request,
                            exchange.head_error_detail());
    }
    if (this->deps.shared_state.phase == node_phase::stopping) {
        refusal refused = make_refusal(refusal_reason::node_stopping);
        refused.retry_after = std::chrono::seconds{0};
        return refused;
    }
    context.config = this->deps.shared_state.config.read();
    if (context.config->revision == 0) {
        refusal refused = make_refusal(refusal_reason::configuration_missing);
        refused.retry_after = std::chrono::seconds{1};
        return refused;
    }
    return std::nullopt;
}

pipeline::outcome pipeline::authenticate(request_context& context)
{
    const http_headers& headers = context.exchange.head().headers;
    const auto header = find_header(headers, "Authorization");
    if (!header) {
        return make_refusal(refusal_reason::key_missing);
    }
    if (count_headers(headers, "Authorization") > 1) {
        return make_refusal(refusal_reason::malformed_request, "Authorization is repeated");
    }
    const auto key = bearer_key(*header);
    if (!key) {
        return make_refusal(refusal_reason::key_missing,
                            "Authorization is not of the form Bearer KEY");
    }
    const auto found = context.config->keys.find(sha256_hex(*key));
    if (found == context.config->keys.end()) {
        return make_refusal(refusal_reason::key_unknown);
    }
    if (found->second.state != key_state::granted) {
        return make_refusal(refusal_reason::key_withdrawn);
    }
    const auto owner = context.config->organisations.find(found->second.organisation);
    if (owner == context.config->organisations.end()) {
        return make_refusal(refusal_reason::key_unknown, "the key's organisation does not exist");
    }
    context.caller_organisation = owner->second;
    return std::nullopt;
}

pipeline::outcome pipeline::find_route(request_context& context)
{
    context.matched_route = find_longest_route(*context.config, context.path());
    if (context.matched_route == nullptr) {
        return make_refusal(refusal_reason::route_unknown);
    }
    const auto& allowed = context.matched_route->organisations;
    if (!allowed.empty() && !allowed.contains(context.caller_organisation->id)) {
        return make_refusal(refusal_reason::organisation_not_allowed);
    }
    const auto target = context.config->services.find(context.matched_route->service);
    if (target == context.config->services.end()) {
        return make_refusal(refusal_reason::route_unknown, "the route's service does not exist");
    }
    const auto rules = context.config->profiles.find(target->second.profile);
    if (rules == context.config->profiles.end()) {
        return make_refusal(refusal_reason::route_unknown, "the service's profile does not exist");
    }
    context.service = target->first;
    context.service_profile = &rules->second;
    context.deadline = context.arrival_time + context.service_profile->timeout;
    context.is_repeatable = context.service_profile->is_repeatable(context.exchange.head().method);
    return std::nullopt;
}

pipeline::outcome pipeline::check_freshness(request_context& context)
{
    const configuration_freshness state = this->deps.decisions.freshness->state(boot_clock::now());
    const bool is_refused =
        (state == configuration_freshness::fleet_only &&
         context.service_profile->when_fleet_only == stale_config_action::refuse) ||
        (state == configuration_freshness::isolated &&
         context.service_profile->when_isolated == stale_config_action::refuse);
    if (!is_refused) {
        return std::nullopt;
    }
    refusal refused = make_refusal(refusal_reason::key_unverified);
    refused.retry_after = std::chrono::seconds{1};
    return refused;
}

pipeline::outcome pipeline::read_body(request_context& context)
{
    switch (context.exchange.read_body(context.service_profile->max_body_bytes, context.body)) {
    case body_outcome::complete:
        context.fingerprint = request_fingerprint(
            context.caller_organisation->id, context.service.value, context.exchange.head().method,
            context.exchange.head().target, context.body);
        return std::nullopt;
    case body_outcome::too_large:
        return make_refusal(refusal_reason::body_too_large);
    case body_outcome::malformed:
        break;
    }
    return make_refusal(refusal_reason::malformed_request, "the body is incomplete or malformed");
}

pipeline::outcome pipeline::check_crashes(request_context& context)
{
    const crash_verdict verdict =
        this->deps.decisions.crash->check_fingerprint(context.fingerprint, boot_clock::now());
    context.is_crash_trial = verdict == crash_verdict::trial;
    if (verdict != crash_verdict::blocked) {
        return std::nullopt;
    }
    refusal refused = make_refusal(refusal_reason::crash_suspect);
    refused.retry_after = std::chrono::seconds{60};
    return refused;
}

pipeline::outcome pipeline::claim(request_context& context)
{
    const http_headers& headers = context.exchange.head().headers;
    const auto key = find_header(headers, "Idempotency-Key");
    if (!key || context.is_repeatable) {
        return std::nullopt;
    }
    if (count_headers(headers, "Idempotency-Key") > 1 || key->empty() ||
        key->size() > max_idempotency_key) {
        return make_refusal(refusal_reason::malformed_request, "Idempotency-Key is not acceptable");
    }
    claim_subject subject;
    subject.organisation = context.caller_organisation->id;
    subject.service = context.service;
    subject.key = std::string{*key};
    refusal refused = make_refusal(refusal_reason::repeat_in_progress);
    switch (this->deps.decisions.claims->claim(subject, context.service_profile->repeat_window,
                                               context.deadline)) {
    case claim_decision::granted:
        context.claim = subject;
        return std::nullopt;
    case claim_decision::in_progress:
        refused.executed = ran::unknown;
        refused.retry_after = std::chrono::seconds{1};
        return refused;
    case claim_decision::done:
        refused.reason = refusal_reason::repeat_done;
        refused.executed = ran::yes;
        return refused;
    case claim_decision::unknown:
        refused.reason = refusal_reason::repeat_unknown;
        refused.executed = ran::unknown;
        return refused;
    case claim_decision::unavailable:
        break;
    }
    refused.reason = refusal_reason::claim_unavailable;
    refused.retry_after = std::chrono::seconds{1};
    return refused;
}

pipeline::outcome pipeline::check_rate(request_context& context)
{
    switch (this->deps.decisions.rate->admit(*context.caller_organisation, context.deadline)) {
    case rate_verdict::admitted:
        return std::nullopt;
    case rate_verdict::over_rate: {
        refusal refused = make_refusal(refusal_reason::organisation_rate);
        refused.retry_after = std::chrono::seconds{1};
        return refused;
    }
    case rate_verdict::unproved:
        break;
    }
    refusal refused = make_refusal(refusal_reason::rights_unproved);
    refused.retry_after = std::chrono::seconds{1};
    return refused;
}

pipeline::outcome pipeline::forward(request_context& context)
{
    return this->upstream_forwarder.forward(context);
}

void pipeline::complete_claim(const request_context& context)
{
    this->deps.decisions.claims->complete(*context.claim, context.executed);
}

void pipeline::send_refusal(request_context& context, const outcome& refused)
{
    refusal response = *refused;
    response.revision = context.config == nullptr ? 0 : context.config->revision;
    if (context.service_profile != nullptr) {
        response.profile = context.service_profile->name;
    }
    this->deps.counters.count_refusal(response.reason);
    if (describe(response.reason).decided_by == decision_source::system) {
        log_line line{"refused"};
        line.add("id", context.id).add("reason", describe(response.reason).code);
        line.add("organisation",
                 !context.caller_organisation ? "" : context.caller_organisation->id.value);
        line.add("service", context.service.value).add("ran", to_code(response.executed));
        line.add("detail", response.detail);
    }
    context.exchange.send(describe(response.reason).status, refusal_headers(response, context.id),
                          refusal_body(response, context.id));
}

void pipeline::record_explanation(const request_context& context, const outcome& refused)
{
    request_record entry;
    entry.id = context.id;
    entry.organisation = !context.caller_organisation ? "" : context.caller_organisation->id.value;
    entry.service = context.service.value;
    entry.method = context.exchange.head().method;
    entry.path = context.path();
    entry.result = refused ? describe(refused->reason).code : "answered";
    entry.executed = to_code(refused ? refused->executed : context.executed);
    entry.status = context.exchange.status();
    entry.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(boot_clock::now() -
                                                                          context.arrival_time);
    entry.steps = context.steps;
    this->deps.explanations.add(std::move(entry));
}

std::string pipeline::next_id()
{
    return fmt::format("{}-{}", this->deps.id_prefix, this->next_request++);
}

} // namespace dragonflyroad
