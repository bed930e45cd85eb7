#include "mesh/node_registration.hpp"

#include "core/digest.hpp"

#include <cstdint>
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

constexpr milliseconds maintenance_interval{100};

/// Delay of the first write of the entry. The upstream's first check-in arrives within 1.5 s, so
/// the entry usually contains it and is written only once.
constexpr milliseconds first_write_delay{1'600};

/// Delay before the first claim of a group, by which the nodes that start at the same time know
/// each other.
constexpr milliseconds first_claim_delay{2'200};

/// The same when the whole fleet starts for the first time and no node knows another one: all have
/// written their entries after 1.9 s, and the others have read them 1.4 s later. Callers come later
/// still. A claim that is made without knowing the others loses, and costs a write and a lease.
constexpr milliseconds first_start_claim_delay{4'000};

/// The nodes of a large fleet write their entries again within this time of a new era, so that the
/// two writes of each stay below the store's limit of writes per second. Together with the time in
/// which they learn of the era, the entries are back within two seconds.
constexpr milliseconds entry_rewrite_spread{800};

/// Time for which the nodes that did not hold a group leave its claim to the former holder, which
/// goes on without a pause.
constexpr milliseconds former_holder_precedence{600};

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
          {[this] { this->on_entry_lease_granted(); }, [this] { this->is_entry_written = false; }}),
      group_lease(
          platform_store, group_time_to_live,
          {[this] { this->claim_groups(boot_clock::now()); }, [this] { this->lose_groups(); }}),
      tenure(group_time_to_live)
{
}

void node_registration::on_entry_lease_granted()
{
    this->sync_era();
    this->is_entry_written = false;
}

void node_registration::start(const node_entry& own, bool is_first_start)
{
    const time_point now = boot_clock::now();
    this->self = own;
    this->first_write_at = now + first_write_delay;
    this->vacant_since.fill(now + (is_first_start ? first_start_claim_delay : first_claim_delay));
    this->entry_lease.set_wanted(true);
    this->entry_lease.maintain(now);
    this->arm_timer();
}

void node_registration::publish(const node_entry& own)
{
    if (own == this->self) {
        return;
    }
    this->self = own;
    this->is_entry_written = false;
    this->first_write_at = {};
    this->write_entry();
}

void node_registration::sync_era()
{
    const std::optional<store_era> newest = this->store.eras().known();
    if (newest == this->era) {
        return;
    }
    const bool is_first = !this->era;
    this->era = newest;
    const time_point now = boot_clock::now();
    const bool held_any = this->tenure.holds_any();
    this->tenure.begin_era(now, this->group_lease.certain_until());
    if (is_first) {
        // What this node asked for before the first answer belongs to the era of that answer.
        return;
    }
    // A second era in quick succession leaves the holders that may still admit in place.
    if (now >= this->former_holders_until) {
        this->former_holders = this->holders;
        this->former_holders_until = now + group_time_to_live;
    }
    this->holders.fill(std::nullopt);
    this->group_revisions.fill(0);
    this->vacant_since.fill(now + former_holder_precedence);
    this->group_lease.begin_era(now);
    this->group_lease.set_wanted(held_any && !this->is_stopping);
    const std::uint64_t spread = stable_hash(this->self.node.value, *this->era) %
                                 static_cast<std::uint64_t>(entry_rewrite_spread.count());
    this->entry_lease.begin_era(now + milliseconds{static_cast<std::int64_t>(spread)});
    this->is_entry_written = false;
    this->handlers.era_begun();
}

void node_registration::write_entry()
{
    const time_point now = boot_clock::now();
    if (this->entry_lease.id() == 0 || this->is_writing_entry || now < this->first_write_at) {
        return;
    }
    this->is_writing_entry = true;
    const node_entry written = this->self;
    const store_lease used = this->entry_lease.id();
    commit_request request;
    request.writes.push_back({this->keys.vm(written.node), written.to_text(), used});
    this->store.commit(request, [this, written, used](commit_outcome outcome) {
        this->is_writing_entry = false;
        this->record_commit(outcome);
        this->sync_era();
        if (used != this->entry_lease.id()) {
            return;
        }
        if (outcome == commit_outcome::committed) {
            this->is_entry_written = written == this->self;
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
    this->sync_era();
    const time_point now = boot_clock::now();
    this->release_lapsed_groups(now);
    this->entry_lease.maintain(now);
    const bool needs_group_lease = this->tenure.holds_any() || !this->groups_in_claim.empty();
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
    this->sync_era();
    this->is_stopping = true;
    this->self.service = {};
    commit_request request;
    request.writes.push_back(
        {this->keys.vm(this->self.node), this->self.to_text(), this->entry_lease.id()});
    for (std::size_t group = 0; group < quota_group_count; ++group) {
        // The condition keeps a claim of another node that was made in a later era.
        if (this->tenure.is_held(group) && this->group_revisions[group] != 0) {
            request.conditions.push_back({this->keys.group(group), this->group_revisions[group]});
            request.removals.push_back(this->keys.group(group));
        }
        this->release_group(group);
    }
    // Without a lease, maintain() writes the entry once a new one is granted.
    this->is_entry_written = this->entry_lease.id() != 0;
    if (this->is_entry_written) {
        this->store.commit(request, [this](commit_outcome outcome) {
            this->sync_era();
            this->is_entry_written = this->is_entry_written && outcome == commit_outcome::committed;
        });
    }
}

void node_registration::remove_entry()
{
    commit_request request;
    request.removals.push_back(this->keys.vm(this->self.node));
    this->store.commit(request, [](commit_outcome) {});
}

void node_registration::finish_stop()
{
    this->sync_era();
    this->timer.cancel();
    if (this->entry_lease.id() == 0 && this->era.value_or(0) != 0) {
        // No lease was granted in this era yet, but the older copy may hold the entry.
        this->remove_entry();
    }
    this->entry_lease.end();
    this->group_lease.end();
}

} // namespace dragonflyroad
