#include "mesh/quota_desk.hpp"

#include "core/digest.hpp"

#include <utility>

#include <fmt/format.h>

namespace dragonflyroad {
namespace {

/// Time for a keeper to answer: more than a round trip to a VM that runs five times slower.
/// Requests look for a slot meanwhile.
constexpr std::chrono::milliseconds answer_limit{150};

} // namespace

namespace {

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
    auto limit_timer = std::make_shared<boost::asio::steady_timer>(this->context, answer_limit);
    this->questions[id] = {organisation, std::move(done), limit_timer};
    limit_timer->async_wait([this, id](const boost::system::error_code& error) {
        const auto found = this->questions.find(id);
        if (!error && found != this->questions.end()) {
            this->finish(id, this->decide_alone(found->second.organisation));
        }
    });
    this->handlers.send(*holder, quota_message{id, organisation});
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

quota_reply_message quota_desk::answer(const quota_message& asked)
{
    quota_reply_message reply;
    reply.id = asked.id;
    reply.is_keeper = this->handlers.is_held(quota_group(asked.organisation));
    if (reply.is_keeper) {
        const auto wait = this->keeper.refuse(
            asked.organisation, this->handlers.limit_of(asked.organisation), boot_clock::now());
        reply.is_admitted = !wait;
        reply.retry_after = wait.value_or(std::chrono::milliseconds{0});
    }
    return reply;
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
        this->finish(reply.id, this->decide_alone(found->second.organisation));
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
