#include "mesh/quota_desk.hpp"

#include "core/digest.hpp"

#include <utility>

#include <fmt/format.h>

namespace dragonflyroad {
namespace {

/// Time for a keeper to answer: more than a round trip to a VM that runs five times slower.
/// Requests look for a slot meanwhile.
constexpr std::chrono::milliseconds direct_limit{80};

/// Time for an answer by way of another node, which waits for the keeper itself.
constexpr std::chrono::milliseconds relayed_limit{120};

} // namespace

namespace {

bool is_for_others(run_id id)
{
    return id > first_relayed_question;
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

quota_desk::quota_desk(boost::asio::io_context& loop, const node_id& node,
                       const quota_tolerance& allowed, callbacks functions)
    : context(loop),
      self(node),
      keeper(allowed),
      spare(node, allowed),
      handlers(std::move(functions))
{
}

void quota_desk::ask(run_id id, const organisation_id& organisation, done_function done)
{
    const organisation_limit limit = this->handlers.limit_of(organisation);
    if (!limit.is_limited()) {
        done({quota_verdict::admitted, {}, false, ""});
        return;
    }
    const std::size_t group = quota_group(organisation);
    if (this->handlers.is_held(group)) {
        const auto wait = this->keeper.refuse(organisation, limit, boot_clock::now());
        done(wait ? quota_decision{quota_verdict::over_limit, *wait, false,
                                   describe_limit(limit) + ", held here"}
                  : quota_decision{quota_verdict::admitted, {}, true, ""});
        return;
    }
    const auto holder = this->handlers.keeper_of(group);
    if (!holder || *holder == this->self) {
        done(this->decide_alone(organisation));
        return;
    }
    this->ask_keeper(id, *holder, organisation, std::move(done));
}

void quota_desk::ask_keeper(run_id id, const node_id& holder, const organisation_id& organisation,
                            done_function done)
{
    question asked;
    asked.organisation = organisation;
    asked.done = std::move(done);
    asked.limit = std::make_shared<boost::asio::steady_timer>(this->context);
    asked.keeper = holder;
    asked.is_relayed = is_for_others(id);
    this->questions[id] = std::move(asked);
    this->arm_limit(id, direct_limit);
    this->handlers.send(holder, quota_message{id, organisation, false});
}

void quota_desk::arm_limit(run_id id, std::chrono::milliseconds limit)
{
    const auto timer = this->questions.at(id).limit;
    timer->expires_after(limit);
    timer->async_wait([this, id, timer](const boost::system::error_code& error) {
        if (!error && this->questions.contains(id)) {
            this->on_limit(id);
        }
    });
}

void quota_desk::on_limit(run_id id)
{
    question& asked = this->questions.at(id);
    const auto relay = asked.is_relayed ? std::nullopt : this->handlers.relay_to(asked.keeper);
    if (!relay) {
        this->finish(id, this->decide_without_keeper(id, asked.organisation));
        return;
    }
    asked.is_relayed = true;
    this->arm_limit(id, relayed_limit);
    this->handlers.send(*relay, quota_message{id, asked.organisation, true});
}

quota_decision quota_desk::decide_without_keeper(run_id id, const organisation_id& organisation)
{
    // The spare part of this node is for its own callers.
    return is_for_others(id) ? quota_decision{} : this->decide_alone(organisation);
}

quota_decision quota_desk::decide_alone(const organisation_id& organisation)
{
    const bool is_admitted = this->spare.take(organisation, this->handlers.limit_of(organisation),
                                              this->handlers.fleet_size(), boot_clock::now());
    return {is_admitted ? quota_verdict::admitted : quota_verdict::unproved,
            std::chrono::milliseconds{500}, false,
            "the keeper of group " + std::to_string(quota_group(organisation)) +
                " does not answer"};
}

void quota_desk::finish(run_id id, const quota_decision& decision)
{
    const auto found = this->questions.find(id);
    if (found == this->questions.end()) {
        return;
    }
    const question asked = std::move(found->second);
    this->questions.erase(found);
    asked.limit->cancel();
    asked.done(decision);
}

void quota_desk::give_back(const organisation_id& organisation)
{
    const std::size_t group = quota_group(organisation);
    if (this->handlers.is_held(group)) {
        this->keeper.give_back(organisation, this->handlers.limit_of(organisation));
    }
    else if (const auto holder = this->handlers.keeper_of(group)) {
        this->handlers.send(*holder, quota_return_message{organisation});
    }
}

quota_reply_message quota_desk::decide_here(run_id id, const organisation_id& organisation)
{
    quota_reply_message reply;
    reply.id = id;
    reply.is_keeper = this->handlers.is_held(quota_group(organisation));
    if (reply.is_keeper) {
        const auto wait = this->keeper.refuse(organisation, this->handlers.limit_of(organisation),
                                              boot_clock::now());
        reply.is_admitted = !wait;
        reply.retry_after = wait.value_or(std::chrono::milliseconds{0});
    }
    return reply;
}

void quota_desk::answer(const quota_message& asked, const reply_function& reply)
{
    const std::size_t group = quota_group(asked.organisation);
    const auto holder = this->handlers.keeper_of(group);
    const bool may_relay = asked.is_relayed && holder && *holder != this->self;
    if (this->handlers.is_held(group) || !may_relay) {
        reply(this->decide_here(asked.id, asked.organisation));
        return;
    }
    this->ask_keeper(++this->last_relayed, *holder, asked.organisation,
                     [id = asked.id, reply](const quota_decision& decision) {
                         quota_reply_message answer;
                         answer.id = id;
                         // What this node could admit by itself is not the asker's to use.
                         answer.is_keeper =
                             decision.is_counted || decision.verdict == quota_verdict::over_limit;
                         answer.is_admitted = decision.is_counted;
                         answer.retry_after = decision.retry_after;
                         reply(answer);
                     });
}

void quota_desk::take_back(const quota_return_message& message)
{
    if (this->handlers.is_held(quota_group(message.organisation))) {
        this->keeper.give_back(message.organisation, this->handlers.limit_of(message.organisation));
    }
}

void quota_desk::receive(const quota_reply_message& reply)
{
    const auto found = this->questions.find(reply.id);
    if (found == this->questions.end()) {
        return;
    }
    if (!reply.is_keeper) {
        this->finish(reply.id, this->decide_without_keeper(reply.id, found->second.organisation));
        return;
    }
    const auto verdict = reply.is_admitted ? quota_verdict::admitted : quota_verdict::over_limit;
    const auto limit = this->handlers.limit_of(found->second.organisation);
    this->finish(reply.id, {verdict, reply.retry_after, reply.is_admitted, describe_limit(limit)});
}

void quota_desk::drop_group(std::size_t group)
{
    this->keeper.drop_if(
        [&](const organisation_id& organisation) { return quota_group(organisation) == group; });
}

} // namespace dragonflyroad
