#include "retry/crash_log.hpp"

#include "core/digest.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

using namespace std::chrono_literals;

constexpr duration first_block_time = 60s;
constexpr duration crash_window = 60s;
constexpr duration trial_timeout = 15s;
// The time of a record that returns through peers is shifted by the transit times of their
// messages. A crash of the same upstream within this time after a known one therefore counts as the
// same crash; otherwise gossip would extend a block without end.
constexpr duration duplicate_crash_distance = 1s;
// A fingerprint without a crash for this long needs two new crashes to be blocked again.
constexpr duration block_history_time = 600s;
// Upper bound on the upstreams recorded per fingerprint; fewer suffice to block.
constexpr std::size_t max_crashes_per_fingerprint = 8;

} // namespace

std::uint64_t request_fingerprint(const organisation_id& organisation, std::string_view destination,
                                  std::string_view method, std::string_view path,
                                  std::string_view body)
{
    std::uint64_t hash = stable_hash(organisation.value);
    hash = stable_hash(destination, hash);
    hash = stable_hash(method, hash);
    hash = stable_hash(path, hash);
    return stable_hash(body, hash);
}

void crash_log::evict_oldest_if_full()
{
    if (this->entries.size() < max_entry_count) {
        return;
    }
    const auto oldest = std::min_element(
        this->entries.begin(), this->entries.end(), [](const auto& left, const auto& right) {
            return left.second.last_crash < right.second.last_crash;
        });
    this->entries.erase(oldest);
}

void crash_log::add(std::uint64_t fingerprint, const upstream_id& upstream, time_point at,
                    time_point now)
{
    if (now - at > crash_window) {
        return;
    }
    if (!this->entries.contains(fingerprint)) {
        this->evict_oldest_if_full();
    }
    entry& known = this->entries[fingerprint];
    if (at - known.last_crash > block_history_time) {
        known = entry{};
    }
    const auto crash = known.crashes.find(upstream);
    if (at <= known.cleared_at ||
        (crash != known.crashes.end() && at <= crash->second + duplicate_crash_distance)) {
        return;
    }
    std::erase_if(known.crashes, [&](const auto& old) { return at - old.second > crash_window; });
    if (known.crashes.size() < max_crashes_per_fingerprint || known.crashes.contains(upstream)) {
        known.crashes[upstream] = at;
    }
    known.last_crash = std::max(known.last_crash, at);
    // After the first block, a crash on a single upstream is enough to block the request again.
    if (known.is_blocked || known.crashes.size() >= this->rule.crashes) {
        if (!known.is_blocked) {
            known.block_time = first_block_time;
        }
        else if (at >= known.blocked_until) {
            known.block_time = std::min<duration>(known.block_time * 2, this->rule.longest_block);
        }
        known.is_blocked = true;
        known.blocked_until = std::max(known.blocked_until, at + known.block_time);
        known.trial_until = time_point{};
    }
}

void crash_log::record_crash(std::uint64_t fingerprint, const upstream_id& upstream, time_point now)
{
    this->add(fingerprint, upstream, now, now);
}

void crash_log::record_trial_success(std::uint64_t fingerprint, time_point now)
{
    const auto found = this->entries.find(fingerprint);
    if (found != this->entries.end() && found->second.is_blocked) {
        // Records of the earlier crashes that arrive from peers must not block the request again.
        found->second = entry{};
        found->second.cleared_at = now;
        found->second.last_crash = now;
    }
}

bool crash_log::is_blocked(std::uint64_t fingerprint, time_point now) const
{
    const auto found = this->entries.find(fingerprint);
    return found != this->entries.end() && found->second.is_blocked &&
           (now < found->second.blocked_until || now < found->second.trial_until);
}

crash_verdict crash_log::check_fingerprint(std::uint64_t fingerprint, time_point now)
{
    const auto found = this->entries.find(fingerprint);
    if (found == this->entries.end() || !found->second.is_blocked) {
        return crash_verdict::allowed;
    }
    entry& known = found->second;
    if (now < known.blocked_until || now < known.trial_until) {
        return crash_verdict::blocked;
    }
    known.trial_until = now + trial_timeout;
    return crash_verdict::trial;
}

bool crash_log::is_suspect(std::uint64_t fingerprint, const upstream_id& upstream,
                           time_point now) const
{
    const auto found = this->entries.find(fingerprint);
    return found != this->entries.end() &&
           std::any_of(found->second.crashes.begin(), found->second.crashes.end(),
                       [&](const auto& crash) {
                           return crash.first != upstream && now - crash.second <= crash_window;
                       });
}

void crash_log::merge(const std::vector<crash_record>& records, time_point now)
{
    for (const crash_record& record : records) {
        this->add(record.fingerprint, record.upstream, std::min(record.at, now), now);
    }
}

std::vector<crash_record> crash_log::recent(std::size_t count, time_point now) const
{
    std::vector<crash_record> list;
    for (const auto& [fingerprint, known] : this->entries) {
        for (const auto& [upstream, at] : known.crashes) {
            if (now - at <= crash_window) {
                list.push_back({fingerprint, upstream, at});
            }
        }
    }
    std::sort(list.begin(), list.end(),
              [](const auto& left, const auto& right) { return left.at > right.at; });
    list.resize(std::min(list.size(), count));
    return list;
}

} // namespace dragonflyroad
