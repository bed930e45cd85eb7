#include "membership/announcements.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dragonflyroad {
namespace {

bool is_newer(const upstream_record& left, const upstream_record& right)
{
    return std::tie(left.run, left.sequence) > std::tie(right.run, right.sequence);
}

bool is_same_offer(const upstream_record& record, const upstream_offer& offer)
{
    return record.service == offer.service && record.slots == offer.slots &&
           record.state == offer.state;
}

} // namespace

announcement_table::announcement_table(incarnation run, announcement_settings settings)
    : own_run(run), limits(settings)
{
}

upstream_record announcement_table::store_own(const upstream_record& offered, time_point expires)
{
    entry& known = this->entries[offered.upstream];
    if (known.record.run == this->own_run) {
        this->own_by_sequence.erase(known.record.sequence);
    }
    known.record = offered;
    known.record.run = this->own_run;
    known.record.sequence = ++this->sequence;
    known.expires = expires;
    known.withheld = false;
    this->own_by_sequence.emplace(this->sequence, offered.upstream);
    ++this->changes;
    return known.record;
}

std::optional<upstream_record> announcement_table::announce(const upstream_offer& offer,
                                                            time_point now)
{
    if (offer.state == announced_state::gone) {
        return this->leave(offer.upstream, now);
    }
    const time_point expires = now + this->limits.renewal_window;
    const auto found = this->entries.find(offer.upstream);
    if (found != this->entries.end() && found->second.record.run == this->own_run &&
        is_same_offer(found->second.record, offer)) {
        found->second.expires = expires;
        return std::nullopt;
    }
    return this->store_own({offer.upstream, offer.service, offer.slots, offer.state}, expires);
}

std::optional<upstream_record> announcement_table::leave(const upstream_id& upstream,
                                                         time_point now)
{
    const auto found = this->entries.find(upstream);
    if (found == this->entries.end() || found->second.record.run != this->own_run ||
        found->second.record.state == announced_state::gone) {
        return std::nullopt;
    }
    upstream_record record = found->second.record;
    record.state = announced_state::gone;
    return this->store_own(record, now + this->limits.removal_retention);
}

merge_outcome announcement_table::merge(const upstream_record& record, time_point now)
{
    const auto [found, inserted] = this->entries.try_emplace(record.upstream);
    entry& known = found->second;
    if (!inserted && !is_newer(record, known.record)) {
        return record == known.record ? merge_outcome::known : merge_outcome::older;
    }
    if (record.run == this->own_run) {
        // Only this process announces under its own run; a copy that it does not hold is a removal
        // that it has already dropped.
        if (inserted) {
            this->entries.erase(found);
        }
        return merge_outcome::older;
    }
    if (known.record.run == this->own_run) {
        this->own_by_sequence.erase(known.record.sequence);
    }
    known.record = record;
    known.withheld = false;
    known.expires.reset();
    if (record.state == announced_state::gone) {
        known.expires = now + this->limits.removal_retention;
    }
    const auto lost = this->lost_until.find(record.run);
    if (lost != this->lost_until.end() && lost->second <= now) {
        this->withhold(known, now);
    }
    ++this->changes;
    return merge_outcome::newer;
}

void announcement_table::withhold(entry& known, time_point now)
{
    if (!known.withheld) {
        known.withheld = true;
        known.expires = now + this->limits.removal_retention;
        ++this->changes;
    }
}

void announcement_table::on_node_lost(incarnation run, time_point now)
{
    this->lost_until.try_emplace(run, now + this->limits.lost_node_grace);
}

void announcement_table::on_node_alive(incarnation run)
{
    if (this->lost_until.erase(run) == 0) {
        return;
    }
    for (auto& [upstream, known] : this->entries) {
        if (known.record.run == run && known.withheld) {
            known.withheld = false;
            if (known.record.state != announced_state::gone) {
                known.expires.reset();
            }
            ++this->changes;
        }
    }
}

void announcement_table::note_failure(const upstream_id& upstream, time_point now)
{
    const auto found = this->entries.find(upstream);
    if (found != this->entries.end() && this->lost_until.contains(found->second.record.run)) {
        this->withhold(found->second, now);
    }
}

void announcement_table::end_lost(time_point now)
{
    std::vector<incarnation> ended;
    for (const auto& [run, until] : this->lost_until) {
        if (until <= now) {
            ended.push_back(run);
        }
    }
    if (ended.empty()) {
        return;
    }
    for (auto& [upstream, known] : this->entries) {
        if (std::find(ended.begin(), ended.end(), known.record.run) != ended.end()) {
            this->withhold(known, now);
        }
    }
    for (const incarnation run : ended) {
        if (this->lost_until[run] + this->limits.removal_retention <= now) {
            this->lost_until.erase(run);
            this->synced_to.erase(run);
        }
    }
}

std::vector<upstream_record> announcement_table::expire(time_point now)
{
    this->end_lost(now);
    std::vector<upstream_id> overdue;
    std::vector<upstream_id> dropped;
    for (const auto& [upstream, known] : this->entries) {
        if (!known.expires || *known.expires > now) {
            continue;
        }
        const bool own_live = known.record.run == this->own_run && this->is_usable(known);
        (own_live ? overdue : dropped).push_back(upstream);
    }
    std::vector<upstream_record> spread;
    for (const upstream_id& upstream : overdue) {
        if (auto record = this->leave(upstream, now)) {
            spread.push_back(std::move(*record));
        }
    }
    for (const upstream_id& upstream : dropped) {
        const auto found = this->entries.find(upstream);
        if (found->second.record.run == this->own_run) {
            this->own_by_sequence.erase(found->second.record.sequence);
        }
        this->entries.erase(found);
    }
    return spread;
}

bool announcement_table::is_usable(const entry& known) const
{
    return known.record.state != announced_state::gone && !known.withheld;
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
    return this->changes;
}

std::vector<upstream_record> announcement_table::all() const
{
    std::vector<upstream_record> records;
    records.reserve(this->entries.size());
    for (const auto& [upstream, known] : this->entries) {
        records.push_back(known.record);
    }
    return records;
}

std::vector<upstream_record> announcement_table::own_since(std::uint64_t after,
                                                           std::size_t most) const
{
    std::vector<upstream_record> records;
    for (auto next = this->own_by_sequence.upper_bound(after);
         next != this->own_by_sequence.end() && records.size() < most; ++next) {
        records.push_back(this->entries.at(next->second).record);
    }
    return records;
}

std::uint64_t announcement_table::own_sequence() const
{
    return this->sequence;
}

std::uint64_t announcement_table::synced(incarnation run) const
{
    const auto found = this->synced_to.find(run);
    return found == this->synced_to.end() ? 0 : found->second;
}

void announcement_table::set_synced(incarnation run, std::uint64_t to)
{
    std::uint64_t& known = this->synced_to[run];
    known = std::max(known, to);
}

} // namespace dragonflyroad
