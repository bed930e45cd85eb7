#include "dispatch/crash_guard.hpp"

#include "core/failure.hpp"

#include <algorithm>
#include <charconv>
#include <cstddef>

#include <fmt/format.h>

namespace dragonflyroad {
namespace {

using namespace std::chrono_literals;

/// Crashes after which a request is blocked. Two could be chance: each run at an upstream that ends
/// is a suspect, and a repeatable one is sent to another upstream, which may end by another cause.
constexpr std::size_t crashes_to_block = 3;

/// Each trial of a blocked request may cost the other requests at an upstream, so the blocks grow;
/// a harmless request that was blocked by chance is served again after the first one.
constexpr std::chrono::minutes longest_block = 8min;

/// How long a success clears a request of suspicion: as long as a crash counts.
constexpr std::chrono::seconds success_retention = 60s;

/// Upper bound on the successes that are kept, which take 64 bytes each. Requests that are frequent
/// enough to be running at several crashes by chance are among the latest.
constexpr std::size_t max_successes = 4'096;

/// The runs that a crash ends are broken within this time of each other.
constexpr std::chrono::milliseconds simultaneous_time = 250ms;

/// Longest time between the break of the runs and the proof that the upstream has ended, which is
/// at the latest the first check-in of its next lifetime.
constexpr std::chrono::seconds confirmation_time = 10s;

/// Upper bound on the suspects of one crash: more than an upstream runs at a time.
constexpr std::size_t max_suspects = 256;

/// Upper bounds on a crash's text: each suspect takes at most 17 characters.
constexpr std::size_t max_lifetime_bytes = 200;
constexpr std::size_t max_text_bytes = max_lifetime_bytes + max_suspects * 17;

std::optional<std::uint64_t> parse_fingerprint(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

crash_guard::crash_guard() : log({crashes_to_block, longest_block}) {}

std::string upstream_crash::to_text() const
{
    std::string text = this->lifetime;
    for (const std::uint64_t fingerprint : this->suspects) {
        text += fmt::format(" {:x}", fingerprint);
    }
    return text;
}

std::optional<upstream_crash> upstream_crash::from_text(const std::string& text,
                                                        const std::string& source)
{
    constexpr const char* step = "decode crash";
    if (text.size() > max_text_bytes) {
        return fail(
            step, source,
            fmt::format("a crash has at most {} bytes, got {}", max_text_bytes, text.size()));
    }
    upstream_crash crash;
    std::size_t begin = std::min(text.find(' '), text.size());
    crash.lifetime = text.substr(0, begin);
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find(' ', begin + 1), text.size());
        const auto fingerprint =
            parse_fingerprint(std::string_view{text}.substr(begin + 1, end - begin - 1));
        if (!fingerprint) {
            return fail(step, source, fmt::format("byte {} begins no fingerprint", begin + 1));
        }
        crash.suspects.push_back(*fingerprint);
        begin = end;
    }
    if (crash.lifetime.empty() || crash.suspects.empty()) {
        return fail(step, source, "a crash names a lifetime and at least one suspect");
    }
    return crash;
}

void crash_guard::record_success(std::uint64_t fingerprint, time_point now)
{
    // After a block has passed, a success shows that the request is harmless.
    this->log.record_trial_success(fingerprint, now);
    this->succeeded_at[fingerprint] = now;
    this->success_order.emplace_back(fingerprint, now);
    while (this->success_order.size() > max_successes) {
        const auto [oldest, at] = this->success_order.front();
        this->success_order.pop_front();
        const auto found = this->succeeded_at.find(oldest);
        if (found != this->succeeded_at.end() && found->second == at) {
            this->succeeded_at.erase(found);
        }
    }
}

bool crash_guard::has_succeeded_lately(std::uint64_t fingerprint, time_point now) const
{
    const auto found = this->succeeded_at.find(fingerprint);
    return found != this->succeeded_at.end() && now < found->second + success_retention;
}

void crash_guard::record_broken_run(std::uint64_t fingerprint, time_point now)
{
    std::erase_if(this->broken_runs,
                  [now](const auto& broken) { return now > broken.second + simultaneous_time; });
    if (this->broken_runs.size() < max_suspects) {
        this->broken_runs.emplace_back(fingerprint, now);
    }
    this->broken_at = now;
}

std::optional<upstream_crash> crash_guard::confirm_crash(const std::string& lifetime,
                                                         time_point now)
{
    upstream_crash crash;
    crash.lifetime = lifetime;
    for (const auto& [fingerprint, at] : std::exchange(this->broken_runs, {})) {
        if (now <= at + confirmation_time && !this->has_succeeded_lately(fingerprint, now)) {
            crash.suspects.push_back(fingerprint);
        }
    }
    this->broken_at = {};
    return crash.suspects.empty() ? std::nullopt : std::optional{std::move(crash)};
}

void crash_guard::add(const upstream_crash& crash, time_point now)
{
    for (const std::uint64_t fingerprint : crash.suspects) {
        if (!this->has_succeeded_lately(fingerprint, now)) {
            this->log.record_crash(fingerprint, upstream_id{crash.lifetime}, now);
        }
    }
}

bool crash_guard::is_blocked(std::uint64_t fingerprint, time_point now) const
{
    return this->log.is_blocked(fingerprint, now);
}

} // namespace dragonflyroad
