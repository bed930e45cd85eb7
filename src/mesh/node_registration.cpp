#include "mesh/node_registration.hpp"

#include "adapters/log.hpp"
#include "core/digest.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

using milliseconds = std::chrono::milliseconds;

/// Time to live of the lease of a node's entry. Entries outlive an outage of the store of this
/// length, so the fleet does not write them all again after it, and the calls of a large fleet are
/// few. The entry of a lost node stays as long; requests avoid the node once it does not respond.
constexpr milliseconds entry_time_to_live{15'000};

/// Time to live of the lease of quota groups. It bounds how long the quota groups of a lost node
/// stay without a holder, and how long holders continue while the store is unavailable. It is
/// shorter than the 4.7 s for which API keys are trusted without the store.
constexpr milliseconds group_time_to_live{4'500};

/// Retry backoff of failed calls. It is short enough that an expired entry is written again within
/// two seconds after the store becomes available.
constexpr milliseconds first_retry_pause{250};
constexpr milliseconds longest_retry_pause{1'000};

/// Pause after a claim, in which the watch is expected to report who holds the group.
constexpr milliseconds claim_pause{250};

constexpr milliseconds maintenance_interval{100};

/// Delay of the first write of the entry. The upstream's first check-in arrives within 1.5 s, so
/// the entry usually contains it and is written only once.
constexpr milliseconds first_write_delay{1'600};

/// Delay before the first claim of a group, by which the nodes that start at the same time know
/// each other.
constexpr milliseconds first_claim_delay{2'200};

/// Additional delay per claim rank before a node claims a vacant group, so that usually only one
/// node does.
constexpr milliseconds claim_delay_per_rank{150};
constexpr std::size_t last_claim_rank = 8;

/// Upper bound on the value of a group: the name of a node and its lease.
constexpr std::size_t max_group_value_bytes = 512;

/// The node in a group's value, "NODE LEASE". Nothing when another writer has left something else;
/// the group then counts as vacant.
std::optional<node_id> holder_in(const std::string& value)
{
    const std::size_t space = value.find(' ');
    if (value.size() > max_group_value_bytes || space == 0 || space == std::string::npos ||
        value.find_first_not_of("0123456789", space + 1) != std::string::npos) {
        return std::nullopt;
    }
    return node_id{value.substr(0, space)};
}

} // namespace

node_registration::node_registration(boost::asio::io_context& loop, shared_store& platform_store,
                                     fleet_keys store_keys, callbacks functions)
    : store(platform_store),
      keys(std::move(store_keys)),
      handlers(std::move(functions)),
      timer(loop),
      commit_retry(first_retry_pause, longest_retry_pause),
      entry_lease(
          platform_store, entry_time_to_live,
          {[this] { this->is_entry_written = false; }, [this] { this->is_entry_written = false; }}),
      group_lease(
          platform_store, group_time_to_live,
          {[this] { this->claim_groups(boot_clock::now()); }, [this] { this->lose_groups(); }})
{
}

std::string node_registration::group_value() const
{
    return this->self.node.value + ' ' + std::to_string(this->group_lease.id());
}

void node_registration::start(const node_entry& own)
{
    const time_point now = boot_clock::now();
    this->self = own;
    this->first_write_at = now + first_write_delay;
    this->vacant_since.fill(now + first_claim_delay);
    this->entry_lease.set_wanted(true);
    this->entry_lease.maintain(now);
    this->arm_timer();
}

void node_registration::publish(const node_entry& own, const std::string& departures)
{
    if (own == this->self && departures == this->departed) {
        return;
    }
    this->self = own;
    this->departed = departures;
    this->is_entry_written = false;
    this->first_write_at = {};
    this->write_entry();
}

void node_registration::lose_groups()
{
    for (const std::size_t group : std::exchange(this->held_groups, {})) {
        this->handlers.group_lost(group);
    }
}

bool node_registration::holds_group(std::size_t group) const
{
    return this->held_groups.contains(group) && this->group_lease.is_valid(boot_clock::now());
}

void node_registration::write_entry()
{
    const time_point now = boot_clock::now();
    if (this->entry_lease.id() == 0 || this->is_writing_entry || now < this->first_write_at) {
        return;
    }
    this->is_writing_entry = true;
    const node_entry written = this->self;
    commit_request request;
    request.writes.push_back(
        {this->keys.vm(written.node), written.to_text(), this->entry_lease.id()});
    // The departures outlast this process, so they are under no lease. They go with the entry,
    // which changes when the upstream leaves, and cost no call of their own.
    const std::string departures = this->departed;
    if (departures != this->written_departed) {
        request.writes.push_back({this->keys.departures(written.node), departures, 0});
    }
    this->store.commit(request, [this, written, departures](commit_outcome outcome) {
        this->is_writing_entry = false;
        this->record_commit(outcome);
        if (outcome == commit_outcome::committed) {
            this->written_departed = departures;
            this->is_entry_written = written == this->self && departures == this->departed;
        }
        else if (outcome == commit_outcome::lease_ended) {
            this->entry_lease.on_ended();
        }
    });
}

void node_registration::record_commit(commit_outcome outcome)
{
    if (outcome == commit_outcome::unknown) {
        this->commit_retry.record_failure(boot_clock::now());
    }
    else {
        this->commit_retry.record_success();
    }
}

void node_registration::on_entry_lost()
{
    if (!this->is_stopping) {
        this->is_entry_written = false;
    }
}

void node_registration::on_group_changed(std::size_t group, const std::optional<std::string>& value,
                                         store_revision revision)
{
    this->holders[group].reset();
    this->vacant_since[group] = std::max(this->vacant_since[group], boot_clock::now());
    if (value) {
        this->holders[group] = holder_in(*value);
        if (!this->holders[group]) {
            log_line{"group_entry_rejected"}.add("group", group).add("bytes", value->size());
        }
    }
    // The reply to a claim may have been lost, so the claim is recognised by its value here. The
    // lease in the value distinguishes it from a claim of an earlier process of this node.
    const bool is_current_claim =
        value && *value == this->group_value() && this->group_lease.id() != 0 && !this->is_stopping;
    if (is_current_claim) {
        this->held_groups.insert(group);
        return;
    }
    if (this->held_groups.erase(group) > 0) {
        this->handlers.group_lost(group);
    }
    // An earlier process of this node has certainly ended, so its groups are claimed without
    // waiting for its lease to expire.
    const bool is_from_earlier_process = value && this->holders[group] == this->self.node;
    if (is_from_earlier_process && !this->is_stopping && !this->groups_in_claim.contains(group)) {
        this->claim(group, revision);
    }
    this->group_revisions[group] = value ? revision : 0;
    if (!this->holders[group] && this->commit_retry.is_due(boot_clock::now())) {
        this->claim_groups(boot_clock::now());
    }
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
    if (this->is_stopping) {
        return;
    }
    for (std::size_t group = 0; group < quota_group_count; ++group) {
        if (this->groups_in_claim.contains(group) || this->held_groups.contains(group)) {
            continue;
        }
        if (this->holders[group] == this->self.node) {
            this->claim(group, this->group_revisions[group]);
            continue;
        }
        if (this->holders[group] || now < this->vacant_since[group]) {
            continue;
        }
        const std::size_t rank = std::min(this->claim_rank(group), last_claim_rank);
        if (now >=
            this->vacant_since[group] + claim_delay_per_rank * static_cast<std::int64_t>(rank)) {
            this->claim(group, this->group_revisions[group]);
        }
    }
}

void node_registration::claim(std::size_t group, store_revision expected)
{
    if (!this->group_lease.is_valid(boot_clock::now())) {
        // The claims that are due are made once the lease is granted.
        this->group_lease.set_wanted(true);
        this->group_lease.maintain(boot_clock::now());
        return;
    }
    this->groups_in_claim.insert(group);
    const store_lease used = this->group_lease.id();
    commit_request request;
    request.conditions.push_back({this->keys.group(group), expected});
    request.writes.push_back({this->keys.group(group), this->group_value(), used});
    this->store.commit(request, [this, group, used](commit_outcome outcome) {
        this->groups_in_claim.erase(group);
        this->record_commit(outcome);
        this->vacant_since[group] = boot_clock::now() + claim_pause;
        if (outcome == commit_outcome::lease_ended && used == this->group_lease.id()) {
            this->group_lease.on_ended();
        }
        if (outcome == commit_outcome::committed && used == this->group_lease.id() &&
            !this->is_stopping) {
            this->holders[group] = this->self.node;
            this->held_groups.insert(group);
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
    this->entry_lease.maintain(now);
    const bool needs_group_lease = !this->held_groups.empty() || !this->groups_in_claim.empty();
    if (this->group_lease.is_valid(now)) {
        this->group_lease.set_wanted(needs_group_lease);
    }
    this->group_lease.maintain(now);
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
    request.writes.push_back(
        {this->keys.vm(this->self.node), this->self.to_text(), this->entry_lease.id()});
    for (const std::size_t group : std::exchange(this->held_groups, {})) {
        request.removals.push_back(this->keys.group(group));
        this->handlers.group_lost(group);
    }
    if (this->entry_lease.id() != 0) {
        this->is_entry_written = true;
        this->store.commit(request, [this](commit_outcome outcome) {
            this->is_entry_written = outcome == commit_outcome::committed;
        });
    }
}

void node_registration::finish_stop()
{
    this->timer.cancel();
    this->entry_lease.end();
    this->group_lease.end();
}

} // namespace dragonflyroad
