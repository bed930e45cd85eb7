#include "membership/announcement_table.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dragonflyroad {
namespace {

bool is_newer(const upstream_record& left, const upstream_record& right)
{
    return std::tie(left.node_incarnation, left.sequence) >
           std::tie(right.node_incarnation, right.sequence);
}

bool is_same_offer(const upstream_record& record, const local_upstream_state& offer)
{
    return record.service == offer.service && record.slots == offer.slots &&
           record.state == offer.state;
}

} // namespace

announcement_table::announcement_table(incarnation node_incarnation, announcement_settings settings)
    : own_incarnation(node_incarnation), limits(settings)
{
}

upstream_record announcement_table::store_own_record(const upstream_record& offered,
                                                     time_point expires)
{
    entry& known = this->entries[offered.upstream];
    if (known.record.node_incarnation == this->own_incarnation) {
        this->own_by_sequence.erase(known.record.sequence);
    }
    known.record = offered;
    known.record.node_incarnation = this->own_incarnation;
    known.record.sequence = ++this->sequence;
    known.expires = expires;
    known.out_of_rotation = false;
    this->own_by_sequence.emplace(this->sequence, offered.upstream);
    ++this->rotation_version;
    return known.record;
}

std::optional<upstream_record> announcement_table::announce(const local_upstream_state& offer,
                                                            time_point now)
{
    if (offer.state == announced_state::unregistered) {
        return this->deregister(offer.upstream, now);
    }
    const time_point expires = now + this->limits.renewal_window;
    const auto found = this->entries.find(offer.upstream);
    if (found != this->entries.end() &&
        found->second.record.node_incarnation == this->own_incarnation &&
        is_same_offer(found->second.record, offer)) {
        found->second.expires = expires;
        return std::nullopt;
    }
    return this->store_own_record({offer.upstream, offer.service, offer.slots, offer.state},
                                  expires);
}

std::optional<upstream_record> announcement_table::deregister(const upstream_id& upstream,
                                                              time_point now)
{
    const auto found = this->entries.find(upstream);
    if (found == this->entries.end() ||
        found->second.record.node_incarnation != this->own_incarnation ||
        found->second.record.state == announced_state::unregistered) {
        return std::nullopt;
    }
    upstream_record record = found->second.record;
    record.state = announced_state::unregistered;
    return this->store_own_record(record, now + this->limits.tombstone_retention);
}

merge_outcome announcement_table::merge(const upstream_record& record, time_point now)
{
    const auto [found, inserted] = this->entries.try_emplace(record.upstream);
    entry& known = found->second;
    if (!inserted && !is_newer(record, known.record)) {
        return record == known.record ? merge_outcome::known : merge_outcome::older;
    }
    if (record.node_incarnation == this->own_incarnation) {
        // Only this process creates records with its incarnation, so a copy that it does not hold
        // is a tombstone that has already expired.
        if (inserted) {
            this->entries.erase(found);
        }
        return merge_outcome::older;
    }
    if (known.record.node_incarnation == this->own_incarnation) {
        this->own_by_sequence.erase(known.record.sequence);
    }
    known.record = record;
    known.out_of_rotation = false;
    known.expires.reset();
    if (record.state == announced_state::unregistered) {
        known.expires = now + this->limits.tombstone_retention;
    }
    const auto lost = this->lost_node_deadlines.find(record.node_incarnation);
    if (lost != this->lost_node_deadlines.end() && lost->second <= now) {
        this->remove_from_rotation(known, now);
    }
    ++this->rotation_version;
    return merge_outcome::newer;
}

void announcement_table::remove_from_rotation(entry& known, time_point now)
{
    if (!known.out_of_rotation) {
        known.out_of_rotation = true;
        known.expires = now + this->limits.tombstone_retention;
        ++this->rotation_version;
    }
}

void announcement_table::on_node_lost(incarnation node_incarnation, time_point now)
{
    this->lost_node_deadlines.try_emplace(node_incarnation, now + this->limits.lost_node_grace);
}

void announcement_table::on_node_alive(incarnation node_incarnation)
{
    if (this->lost_node_deadlines.erase(node_incarnation) == 0) {
        return;
    }
    for (auto& [upstream, known] : this->entries) {
        if (known.record.node_incarnation == node_incarnation && known.out_of_rotation) {
            known.out_of_rotation = false;
            if (known.record.state != announced_state::unregistered) {
                known.expires.reset();
            }
            ++this->rotation_version;
        }
    }
}

void announcement_table::record_failure(const upstream_id& upstream, time_point now)
{
    const auto found = this->entries.find(upstream);
    if (found != this->entries.end() &&
        this->lost_node_deadlines.contains(found->second.record.node_incarnation)) {
        this->remove_from_rotation(found->second, now);
    }
}

void announcement_table::expire_lost_nodes(time_point now)
{
    std::vector<incarnation> ended;
    for (const auto& [node_incarnation, until] : this->lost_node_deadlines) {
        if (until <= now) {
            ended.push_back(node_incarnation);
        }
    }
    if (ended.empty()) {
        return;
    }
    for (auto& [upstream, known] : this->entries) {
        if (std::find(ended.begin(), ended.end(), known.record.node_incarnation) != ended.end()) {
            this->remove_from_rotation(known, now);
        }
    }
    for (const incarnation node_incarnation : ended) {
        if (this->lost_node_deadlines[node_incarnation] + this->limits.tombstone_retention <= now) {
            this->lost_node_deadlines.erase(node_incarnation);
            this->synced_sequences.erase(node_incarnation);
        }
    }
}

std::vector<upstream_record> announcement_table::expire(time_point now)
{
    this->expire_lost_nodes(now);
    std::vector<upstream_id> overdue;
    std::vector<upstream_id> dropped;
    for (const auto& [upstream, known] : this->entries) {
        if (!known.expires || *known.expires > now) {
            continue;
        }
        const bool own_live =
            known.record.node_incarnation == this->own_incarnation && this->is_usable(known);
        (own_live ? overdue : dropped).push_back(upstream);
    }
    std::vector<upstream_record> to_gossip;
    for (const upstream_id& upstream : overdue) {
        if (auto record = this->deregister(upstream, now)) {
            to_gossip.push_back(std::move(*record));
        }
    }
    for (const upstream_id& upstream : dropped) {
        const auto found = this->entries.find(upstream);
        if (found->second.record.node_incarnation == this->own_incarnation) {
            this->own_by_sequence.erase(found->second.record.sequence);
        }
        this->entries.erase(found);
    }
    return to_gossip;
}

bool announcement_table::is_usable(const entry& known) const
{
    return known.record.state != announced_state::unregistered && !known.out_of_rotation;
}

std::vector<upstream_record> announcement_table::in_rotation() const
{
    std::vector<upstream_record> usable;
    for (const auto& [upstream, known] : this->entries) {
        if (this->is_usable(known)) {
            usable.push_back(known.record);
        }
    }
    std::sort(usable.begin(), usable.end(),
              [](const upstream_record& left, const upstream_record& right) {
                  return left.upstream < right.upstream;
              });
    return usable;
}

std::uint64_t announcement_table::version() const
{
    return this->rotation_version;
}

std::vector<upstream_record> announcement_table::all_records() const
{
    std::vector<upstream_record> records;
    records.reserve(this->entries.size());
    for (const auto& [upstream, known] : this->entries) {
        records.push_back(known.record);
    }
    return records;
}

std::vector<upstream_record> announcement_table::own_records_after(std::uint64_t after,
                                                                   std::size_t max_count) const
{
    std::vector<upstream_record> records;
    for (auto next = this->own_by_sequence.upper_bound(after);
         next != this->own_by_sequence.end() && records.size() < max_count; ++next) {
        records.push_back(this->entries.at(next->second).record);
    }
    return records;
}

std::uint64_t announcement_table::last_own_sequence() const
{
    return this->sequence;
}

std::uint64_t announcement_table::synced_sequence(incarnation node_incarnation) const
{
    const auto found = this->synced_sequences.find(node_incarnation);
    return found == this->synced_sequences.end() ? 0 : found->second;
}

void announcement_table::record_synced_sequence(incarnation node_incarnation, std::uint64_t to)
{
    std::uint64_t& known = this->synced_sequences[node_incarnation];
    known = std::max(known, to);
}

} // namespace dragonflyroad
