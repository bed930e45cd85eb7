#include "mesh/node_registration.hpp"

#include "adapters/log.hpp"
#include "core/digest.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

using milliseconds = std::chrono::milliseconds;

/// Time to live of a node's lease: how long a lost node's quota groups stay without a keeper, and
/// how long keepers go on while the store is away. Keys are trusted for 4.7 s without it.
constexpr milliseconds lease_time_to_live{4'500};

/// Renewals per time to live; two may be lost.
constexpr int renewals_per_lease = 3;

/// The lease is taken as ended this much earlier than by the store's count.
constexpr milliseconds lease_margin{300};

/// Pauses after calls that failed. An entry that lapsed is to be back two seconds after the store's
/// return at the latest.
constexpr milliseconds first_retry_pause{250};
constexpr milliseconds longest_retry_pause{1'000};

/// After a claim the group is left alone until the watch has told who holds it.
constexpr milliseconds claim_pause{250};

constexpr milliseconds maintenance_interval{100};

/// The entry waits this long for the first check-in of the upstream, which comes within 1.5 s, so
/// that it is written once.
constexpr milliseconds first_write_delay{1'600};

/// Groups are first claimed after this time, when the other starting nodes are known.
constexpr milliseconds first_claim_delay{2'200};

/// Each rank waits this much longer before it claims a vacant group, so that usually one node does.
constexpr milliseconds claim_step{150};
constexpr std::size_t last_claim_rank = 8;

} // namespace

node_registration::node_registration(boost::asio::io_context& loop, shared_store& platform_store,
                                     fleet_keys names, callbacks functions)
    : store(platform_store),
      keys(std::move(names)),
      handlers(std::move(functions)),
      timer(loop),
      commit_retry(first_retry_pause, longest_retry_pause),
      lease_retry(first_retry_pause, longest_retry_pause)
{
}

std::string node_registration::group_value() const
{
    return this->self.node.value + ' ' + std::to_string(this->lease);
}

void node_registration::start(const vm_entry& own)
{
    const time_point now = boot_clock::now();
    this->self = own;
    this->first_write_at = now + first_write_delay;
    this->vacant_since.fill(now + first_claim_delay);
    this->grant();
    this->arm_timer();
}

void node_registration::publish(const vm_entry& own)
{
    if (own == this->self) {
        return;
    }
    this->self = own;
    this->is_entry_written = false;
    this->first_write_at = {};
    this->write_entry();
}

void node_registration::grant()
{
    if (this->is_leasing) {
        return;
    }
    this->is_leasing = true;
    const time_point asked = boot_clock::now();
    this->store.grant_lease(lease_time_to_live, [this, asked](std::optional<lease_grant> granted) {
        this->is_leasing = false;
        this->on_grant(granted, asked);
    });
}

void node_registration::on_grant(std::optional<lease_grant> granted, time_point asked)
{
    if (!granted) {
        this->lease_retry.note_failure(boot_clock::now());
        this->next_keep = this->lease_retry.next();
        return;
    }
    this->lease_retry.note_success();
    this->lease = granted->lease;
    this->lease_time = granted->time_to_live;
    this->lease_until = asked + granted->time_to_live - lease_margin;
    this->next_keep = asked + granted->time_to_live / renewals_per_lease;
    this->is_entry_written = false;
}

void node_registration::keep()
{
    this->is_leasing = true;
    const time_point asked = boot_clock::now();
    const store_lease kept = this->lease;
    this->store.keep_lease(kept, [this, asked, kept](lease_outcome outcome) {
        this->is_leasing = false;
        if (kept == this->lease) {
            this->on_kept(outcome, asked);
        }
    });
}

void node_registration::on_kept(lease_outcome outcome, time_point asked)
{
    if (outcome == lease_outcome::ended) {
        log_line{"lease_ended"}.add("lease", this->lease);
        this->lose_lease();
        this->grant();
        return;
    }
    if (outcome == lease_outcome::unknown) {
        this->lease_retry.note_failure(boot_clock::now());
        this->next_keep = this->lease_retry.next();
        return;
    }
    this->lease_retry.note_success();
    this->lease_until = asked + this->lease_time - lease_margin;
    this->next_keep = asked + this->lease_time / renewals_per_lease;
}

void node_registration::lose_lease()
{
    this->lease = 0;
    this->lease_until = {};
    this->is_entry_written = false;
    for (const std::size_t group : std::exchange(this->held, {})) {
        this->handlers.group_lost(group);
    }
}

bool node_registration::is_lease_valid(time_point now) const
{
    return this->lease != 0 && now < this->lease_until;
}

bool node_registration::holds_group(std::size_t group) const
{
    return this->held.contains(group) && this->is_lease_valid(boot_clock::now());
}

void node_registration::write_entry()
{
    const time_point now = boot_clock::now();
    if (this->lease == 0 || this->is_writing_entry || now < this->first_write_at) {
        return;
    }
    this->is_writing_entry = true;
    const vm_entry written = this->self;
    commit_request request;
    request.writes.push_back({this->keys.vm(written.node), written.to_text(), this->lease});
    this->store.commit(request, [this, written](commit_outcome outcome) {
        this->is_writing_entry = false;
        this->note_commit(outcome);
        if (outcome == commit_outcome::committed) {
            this->is_entry_written = written == this->self;
        }
        else if (outcome == commit_outcome::lease_ended) {
            this->lose_lease();
            this->grant();
        }
    });
}

void node_registration::note_commit(commit_outcome outcome)
{
    if (outcome == commit_outcome::unknown) {
        this->commit_retry.note_failure(boot_clock::now());
    }
    else {
        this->commit_retry.note_success();
    }
}

void node_registration::on_entry_lost()
{
    if (!this->is_stopping) {
        this->is_entry_written = false;
    }
}

void node_registration::on_group(std::size_t group, const std::optional<std::string>& value,
                                 store_revision revision)
{
    this->keepers[group].reset();
    this->vacant_since[group] = std::max(this->vacant_since[group], boot_clock::now());
    if (value) {
        this->keepers[group] = node_id{value->substr(0, value->find(' '))};
    }
    // The lease tells a claim of this run, whose reply may have been lost, from one of an earlier
    // run.
    const bool is_current_claim =
        value && *value == this->group_value() && this->lease != 0 && !this->is_stopping;
    if (is_current_claim) {
        this->held.insert(group);
        return;
    }
    if (this->held.erase(group) > 0) {
        this->handlers.group_lost(group);
    }
    // An earlier run of this node has ended for certain, so its groups need not wait for its lease.
    const bool is_from_earlier_run = value && this->keepers[group] == this->self.node;
    if (is_from_earlier_run && this->is_lease_valid(boot_clock::now()) && !this->is_stopping &&
        !this->claiming.contains(group)) {
        this->claim(group, revision);
    }
    this->group_revisions[group] = revision;
}

std::size_t node_registration::claim_rank(std::size_t group) const
{
    const auto weight = [&](const node_id& node) {
        return stable_hash(this->keys.group(group) + node.value);
    };
    const std::uint64_t own = weight(this->self.node);
    return static_cast<std::size_t>(std::ranges::count_if(
        this->handlers.live_nodes(), [&](const node_id& node) { return weight(node) > own; }));
}

void node_registration::claim_groups(time_point now)
{
    if (this->is_stopping || !this->is_lease_valid(now)) {
        return;
    }
    for (std::size_t group = 0; group < quota_group_count; ++group) {
        if (this->claiming.contains(group) || this->held.contains(group)) {
            continue;
        }
        if (this->keepers[group] == this->self.node) {
            this->claim(group, this->group_revisions[group]);
            continue;
        }
        if (this->keepers[group] || now < this->vacant_since[group]) {
            continue;
        }
        const std::size_t rank = std::min(this->claim_rank(group), last_claim_rank);
        if (now >= this->vacant_since[group] + claim_step * static_cast<std::int64_t>(rank)) {
            this->claim(group, 0);
        }
    }
}

void node_registration::claim(std::size_t group, store_revision expected)
{
    this->claiming.insert(group);
    const store_lease used = this->lease;
    commit_request request;
    request.conditions.push_back({this->keys.group(group), expected});
    request.writes.push_back({this->keys.group(group), this->group_value(), used});
    this->store.commit(request, [this, group, used](commit_outcome outcome) {
        this->claiming.erase(group);
        this->note_commit(outcome);
        this->vacant_since[group] = boot_clock::now() + claim_pause;
        if (outcome == commit_outcome::committed && used == this->lease && !this->is_stopping) {
            this->keepers[group] = this->self.node;
            this->held.insert(group);
            log_line{"quota_group_held"}.add("group", group);
        }
    });
}

void node_registration::arm_timer()
{
    this->timer.expires_after(maintenance_interval);
    this->timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            this->maintain();
            this->arm_timer();
        }
    });
}

void node_registration::maintain()
{
    const time_point now = boot_clock::now();
    if (!this->is_leasing && now >= this->next_keep) {
        if (this->lease == 0) {
            this->grant();
        }
        else {
            this->keep();
        }
    }
    if (!this->commit_retry.is_due(now)) {
        return;
    }
    if (!this->is_entry_written) {
        this->write_entry();
    }
    this->claim_groups(now);
}

void node_registration::begin_stop()
{
    this->is_stopping = true;
    this->self.service = {};
    commit_request request;
    request.writes.push_back({this->keys.vm(this->self.node), this->self.to_text(), this->lease});
    for (const std::size_t group : std::exchange(this->held, {})) {
        request.removals.push_back(this->keys.group(group));
        this->handlers.group_lost(group);
    }
    if (this->lease != 0) {
        this->is_entry_written = true;
        this->store.commit(request, [this](commit_outcome outcome) {
            this->is_entry_written = outcome == commit_outcome::committed;
        });
    }
}

void node_registration::finish_stop()
{
    this->timer.cancel();
    if (this->lease != 0) {
        this->store.end_lease(this->lease);
    }
}

} // namespace dragonflyroad
