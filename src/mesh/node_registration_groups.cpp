#include "mesh/node_registration.hpp"

#include "adapters/log.hpp"
#include "dispatch/writer_rank.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

using milliseconds = std::chrono::milliseconds;

/// Pause after a claim, in which the watch is expected to report who holds the group.
constexpr milliseconds claim_pause{250};

/// Additional delay per claim rank before a node claims a vacant group, so that usually only one
/// node does.
constexpr milliseconds claim_delay_per_rank{150};
constexpr std::size_t last_claim_rank = 8;

/// Upper bound on the value of a group: the name of a node, its lease and its era.
constexpr std::size_t max_group_value_bytes = 512;

/// The node in a group's value, "NODE LEASE" or "NODE LEASE ERA". Nothing when another writer has
/// left something else; the group then counts as vacant.
std::optional<node_id> holder_in(const std::string& value)
{
    const std::size_t space = value.find(' ');
    if (value.size() > max_group_value_bytes || space == 0 || space == std::string::npos ||
        value.find_first_not_of("0123456789 ", space + 1) != std::string::npos) {
        return std::nullopt;
    }
    return node_id{value.substr(0, space)};
}

} // namespace

std::string node_registration::group_value() const
{
    std::string value = this->self.node.value + ' ' + std::to_string(this->group_lease.id());
    // The number of a lease is given out again in a later era.
    if (const store_era current = this->era.value_or(0); current != 0) {
        value += ' ' + std::to_string(current);
    }
    return value;
}

void node_registration::lose_groups()
{
    for (const std::size_t group : this->held_groups()) {
        this->release_group(group);
    }
}

std::vector<std::size_t> node_registration::held_groups() const
{
    std::vector<std::size_t> groups;
    for (std::size_t group = 0; group < quota_group_count; ++group) {
        if (this->tenure.is_held(group)) {
            groups.push_back(group);
        }
    }
    return groups;
}

void node_registration::release_group(std::size_t group)
{
    if (this->tenure.release(group)) {
        this->handlers.group_lost(group);
    }
}

bool node_registration::holds_group(std::size_t group)
{
    this->sync_era();
    const time_point now = boot_clock::now();
    return this->tenure.may_admit(group, now, this->group_lease.is_valid(now),
                                  this->handlers.is_era_settled());
}

std::optional<node_id> node_registration::group_holder(std::size_t group) const
{
    const auto& former = this->former_holders.at(group);
    return former && boot_clock::now() < this->former_holders_until ? former
                                                                    : this->holders.at(group);
}

void node_registration::release_lapsed_groups(time_point now)
{
    for (const std::size_t group : this->tenure.release_lapsed(now)) {
        log_line{"quota_group_lapsed"}.add("group", group).add("era", this->era.value_or(0));
        this->handlers.group_lost(group);
    }
}

void node_registration::on_group_changed(std::size_t group, const std::optional<std::string>& value,
                                         const store_position& changed_at)
{
    this->sync_era();
    if (changed_at.era != this->era.value_or(0)) {
        // The view has not read the new era yet. Its revisions are no conditions for claims there.
        return;
    }
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
    this->group_revisions[group] = value ? changed_at.revision : 0;
    if (is_current_claim) {
        this->tenure.hold(group, boot_clock::now(), this->handlers.is_era_settled());
        return;
    }
    if (this->tenure.is_held(group)) {
        this->release_group(group);
    }
    // An earlier process of this node has certainly ended, so its groups are claimed without
    // waiting for its lease to expire.
    const bool is_from_earlier_process = value && this->holders[group] == this->self.node;
    if (is_from_earlier_process && !this->is_stopping && !this->groups_in_claim.contains(group)) {
        this->claim(group, changed_at.revision);
    }
    if (!this->holders[group] && this->commit_retry.is_due(boot_clock::now())) {
        this->claim_groups(boot_clock::now());
    }
}

std::size_t node_registration::claim_rank(std::size_t group) const
{
    return writer_rank(this->keys.group(group), this->self.node, this->handlers.live_nodes());
}

void node_registration::claim_groups(time_point now)
{
    this->sync_era();
    if (this->is_stopping) {
        return;
    }
    for (std::size_t group = 0; group < quota_group_count; ++group) {
        if (this->groups_in_claim.contains(group) || this->tenure.is_held(group)) {
            continue;
        }
        const bool may_go_on = !this->holders[group] && this->tenure.has_inherited(group, now);
        if (may_go_on || this->holders[group] == this->self.node) {
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
        this->sync_era();
        this->groups_in_claim.erase(group);
        this->record_commit(outcome);
        this->vacant_since[group] =
            std::max(this->vacant_since[group], boot_clock::now() + claim_pause);
        if (outcome == commit_outcome::lease_ended && used == this->group_lease.id()) {
            this->group_lease.on_ended();
        }
        if (outcome == commit_outcome::committed && used == this->group_lease.id() &&
            !this->is_stopping) {
            this->holders[group] = this->self.node;
            this->tenure.hold(group, boot_clock::now(), this->handlers.is_era_settled());
            log_line{"quota_group_held"}.add("group", group).add("era", this->era.value_or(0));
        }
    });
}

} // namespace dragonflyroad
