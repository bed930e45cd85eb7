#include "mesh/quota_coordinator.hpp"

#include "core/digest.hpp"

#include <utility>

#include <fmt/format.h>

namespace dragonflyroad {
namespace {

/// Reply timeout of the holder. It exceeds the round trip to a VM that runs five times slower. The
/// request reserves no slot before the decision.
constexpr std::chrono::milliseconds holder_reply_timeout{80};

/// Reply timeout of a relayed query. It exceeds the relay's own timeout for the holder.
constexpr std::chrono::milliseconds relayed_reply_timeout{120};

} // namespace

namespace {

bool is_relayed_query(run_id id)
{
    return id > first_relayed_query;
}

std::string describe_limit(const organisation_limit& limit)
{
    return fmt::format("rate {}/s, burst {}", limit.rate_per_second, limit.burst);
}

} // namespace

std::size_t quota_group(const organisation_id& organisation)
{
    return static_cast<std::size_t>(stable_hash(organisation.value) % quota_group_count);
}

quota_coordinator::quota_coordinator(boost::asio::io_context& loop, const node_id& node,
                                     const quota_tolerance& tolerance, callbacks functions)
    : context(loop),
      self(node),
      held_quota(tolerance),
      fallback_limiter(node, tolerance),
      handlers(std::move(functions))
{
}

void quota_coordinator::request_admission(run_id id, const organisation_id& organisation,
                                          done_function done)
{
    const organisation_limit limit = this->handlers.limit_of(organisation);
    if (!limit.is_limited()) {
        done({quota_verdict::admitted, {}, false, ""});
        return;
    }
    const std::size_t group = quota_group(organisation);
    if (this->handlers.is_group_held(group)) {
        const auto wait =
            this->held_quota.retry_after_unless_admitted(organisation, limit, boot_clock::now());
        done(wait ? quota_decision{quota_verdict::over_limit, *wait, false,
                                   describe_limit(limit) + ", held here"}
                  : quota_decision{quota_verdict::admitted, {}, true, ""});
        return;
    }
    const auto holder = this->handlers.find_group_holder(group);
    if (!holder || *holder == this->self) {
        done(this->decide_with_fallback(organisation));
        return;
    }
    this->query_holder(id, *holder, organisation, std::move(done));
}

void quota_coordinator::query_holder(run_id id, const node_id& holder,
                                     const organisation_id& organisation, done_function done)
{
    pending_query query;
    query.organisation = organisation;
    query.done = std::move(done);
    query.timer = std::make_shared<boost::asio::steady_timer>(this->context);
    query.holder = holder;
    query.is_relayed = is_relayed_query(id);
    this->pending_queries[id] = std::move(query);
    this->arm_timeout(id, holder_reply_timeout);
    this->handlers.send(holder, quota_request_message{id, organisation, false});
}

void quota_coordinator::arm_timeout(run_id id, std::chrono::milliseconds timeout)
{
    const auto timer = this->pending_queries.at(id).timer;
    timer->expires_after(timeout);
    timer->async_wait([this, id, timer](const boost::system::error_code& error) {
        if (!error && this->pending_queries.contains(id)) {
            this->on_timeout(id);
        }
    });
}

void quota_coordinator::on_timeout(run_id id)
{
    pending_query& query = this->pending_queries.at(id);
    const auto relay = query.is_relayed ? std::nullopt : this->handlers.choose_relay(query.holder);
    if (!relay) {
        this->finish(id, this->decide_without_holder(id, query.organisation));
        return;
    }
    query.is_relayed = true;
    this->arm_timeout(id, relayed_reply_timeout);
    this->handlers.send(*relay, quota_request_message{id, query.organisation, true});
}

quota_decision quota_coordinator::decide_without_holder(run_id id,
                                                        const organisation_id& organisation)
{
    // What this node may admit on its own is reserved for its own callers.
    return is_relayed_query(id) ? quota_decision{} : this->decide_with_fallback(organisation);
}

quota_decision quota_coordinator::decide_with_fallback(const organisation_id& organisation)
{
    const bool is_admitted =
        this->fallback_limiter.try_admit(organisation, this->handlers.limit_of(organisation),
                                         this->handlers.fleet_size(), boot_clock::now());
    return {is_admitted ? quota_verdict::admitted : quota_verdict::holder_unavailable,
            std::chrono::milliseconds{500}, false,
            "the keeper of group " + std::to_string(quota_group(organisation)) +
                " does not answer"};
}

void quota_coordinator::finish(run_id id, const quota_decision& decision)
{
    const auto found = this->pending_queries.find(id);
    if (found == this->pending_queries.end()) {
        return;
    }
    const pending_query query = std::move(found->second);
    this->pending_queries.erase(found);
    query.timer->cancel();
    query.done(decision);
}

void quota_coordinator::refund(const organisation_id& organisation)
{
    const std::size_t group = quota_group(organisation);
    if (this->handlers.is_group_held(group)) {
        this->held_quota.refund_token(organisation, this->handlers.limit_of(organisation));
    }
    else if (const auto holder = this->handlers.find_group_holder(group)) {
        this->handlers.send(*holder, quota_refund_message{organisation});
    }
}

quota_reply_message quota_coordinator::decide_as_holder(run_id id,
                                                        const organisation_id& organisation)
{
    quota_reply_message reply;
    reply.id = id;
    reply.is_quota_holder = this->handlers.is_group_held(quota_group(organisation));
    if (reply.is_quota_holder) {
        const auto wait = this->held_quota.retry_after_unless_admitted(
            organisation, this->handlers.limit_of(organisation), boot_clock::now());
        reply.is_admitted = !wait;
        reply.retry_after = wait.value_or(std::chrono::milliseconds{0});
    }
    return reply;
}

void quota_coordinator::handle_query(const quota_request_message& query,
                                     const reply_function& reply)
{
    const std::size_t group = quota_group(query.organisation);
    const auto holder = this->handlers.find_group_holder(group);
    const bool may_relay = query.is_relayed && holder && *holder != this->self;
    if (this->handlers.is_group_held(group) || !may_relay) {
        reply(this->decide_as_holder(query.id, query.organisation));
        return;
    }
    this->query_holder(++this->last_relayed_query, *holder, query.organisation,
                       [id = query.id, reply](const quota_decision& decision) {
                           quota_reply_message relayed;
                           relayed.id = id;
                           // Only a decision of the holder is passed on: what this node may admit
                           // on its own is not available to the querying node.
                           relayed.is_quota_holder =
                               decision.is_counted || decision.verdict == quota_verdict::over_limit;
                           relayed.is_admitted = decision.is_counted;
                           relayed.retry_after = decision.retry_after;
                           reply(relayed);
                       });
}

void quota_coordinator::handle_refund(const quota_refund_message& message)
{
    if (this->handlers.is_group_held(quota_group(message.organisation))) {
        this->held_quota.refund_token(message.organisation,
                                      this->handlers.limit_of(message.organisation));
    }
}

void quota_coordinator::receive(const quota_reply_message& reply)
{
    const auto found = this->pending_queries.find(reply.id);
    if (found == this->pending_queries.end()) {
        return;
    }
    if (!reply.is_quota_holder) {
        this->finish(reply.id, this->decide_without_holder(reply.id, found->second.organisation));
        return;
    }
    const auto verdict = reply.is_admitted ? quota_verdict::admitted : quota_verdict::over_limit;
    const auto limit = this->handlers.limit_of(found->second.organisation);
    this->finish(reply.id, {verdict, reply.retry_after, reply.is_admitted, describe_limit(limit)});
}

void quota_coordinator::set_tolerance(const quota_tolerance& tolerance)
{
    this->held_quota.set_tolerance(tolerance);
    this->fallback_limiter.set_tolerance(tolerance);
}

void quota_coordinator::drop_group(std::size_t group)
{
    this->held_quota.drop_if(
        [&](const organisation_id& organisation) { return quota_group(organisation) == group; });
}

} // namespace dragonflyroad
