#include "limits/reclaim_tracker.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

constexpr std::chrono::milliseconds consent_interval{1'000};

} // namespace

void reclaim_tracker::set_ledger(const ledger& book, time_point now)
{
    std::map<seat_key, progress> next;
    for (const seat& entry : book.seats) {
        if (entry.marked == 0) {
            continue;
        }
        const auto before = this->marked.find(entry.holder);
        if (before != this->marked.end() && before->second.mark == entry.marked) {
            next.insert(*before);
        }
        else {
            next[entry.holder] = {entry.marked, now, {}, {}};
        }
    }
    this->marked = std::move(next);
    std::map<seat_key, time_point> still_missing;
    for (const seat& entry : book.seats) {
        for (const seat_key& witness : entry.witnesses) {
            if (book.find(witness) == nullptr) {
                const auto before = this->missing_since.find(witness);
                still_missing[witness] = before == this->missing_since.end() ? now : before->second;
            }
        }
    }
    this->missing_since = std::move(still_missing);
}

void reclaim_tracker::record_consent(const seat_key& witness, const seat_key& holder,
                                     time_point now)
{
    const auto place = this->marked.find(holder);
    if (place != this->marked.end()) {
        place->second.consents.try_emplace(witness, now);
    }
}

bool reclaim_tracker::is_ready(const ledger& book, const seat& entry, time_point now) const
{
    const auto place = this->marked.find(entry.holder);
    if (place == this->marked.end() || place->second.mark != entry.marked) {
        return false;
    }
    time_point latest = place->second.marked_seen;
    for (const seat_key& witness : entry.witnesses) {
        const seat* const seated = book.find(witness);
        if (entry.confirmed_lost || (seated != nullptr && seated->confirmed_lost)) {
            continue;
        }
        const auto& events = seated != nullptr ? place->second.consents : this->missing_since;
        const auto event = events.find(witness);
        if (event == events.end()) {
            return false;
        }
        latest = std::max(latest, event->second);
    }
    return now - latest >= reclaim_wait;
}

std::vector<addressed<consent_request>>
reclaim_tracker::due_consents(const ledger& book, const seat_key& self, time_point now)
{
    std::vector<addressed<consent_request>> due;
    for (auto& [holder, state] : this->marked) {
        const seat* const entry = book.find(holder);
        if (entry == nullptr || holder == self || now - state.last_asked < consent_interval) {
            continue;
        }
        state.last_asked = now;
        for (const seat_key& witness : entry->witnesses) {
            if (book.find(witness) != nullptr && !state.consents.contains(witness)) {
                due.push_back({witness, {holder}});
            }
        }
    }
    return due;
}

} // namespace dragonflyroad
