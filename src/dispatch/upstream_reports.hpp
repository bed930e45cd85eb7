#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace dragonflyroad {

enum class upstream_state { ready, draining };

/// What an upstream says of itself when it checks in.
struct upstream_report {
    /// Name of this lifetime of the upstream.
    std::string id;
    std::string address;
    service_name service;
    std::uint32_t slots = 1;
    upstream_state state = upstream_state::ready;
    /// How much longer it is slow after its start.
    std::chrono::milliseconds cold_for{0};
    /// Rises with each report of a lifetime.
    std::int64_t sequence = 0;
    /// Unix time of its start in milliseconds; a restart may keep the id.
    std::int64_t started_at = 0;
};

/// The upstream beside this node, as its latest believable report describes it.
struct local_upstream {
    std::string id;
    std::string address;
    service_name service;
    std::uint32_t slots = 1;
    bool is_draining = false;
    time_point cold_until{};
    std::int64_t sequence = 0;
    std::int64_t started_at = 0;
};

enum class report_verdict {
    /// News of the known lifetime.
    accepted,
    /// A lifetime that was not known before.
    started,
    /// An older lifetime, one that has left, or an earlier report that was delayed.
    outdated,
};

/// Decides which reports of the upstream beside this node are believed. Reports may arrive late,
/// after their sender has ended and another lifetime has started at its address. Not synchronised.
class upstream_reports {
public:
    report_verdict apply(const upstream_report& report, time_point now);

    /// The lifetime has left. False when it is not the current one.
    bool leave(const std::string& id);

    /// The process at the address is not the lifetime that was known.
    void lose() { this->latest.reset(); }

    const std::optional<local_upstream>& current() const { return this->latest; }

private:
    bool has_left(const upstream_report& report) const;

    std::optional<local_upstream> latest;
    /// Lifetimes that have left, with their start.
    std::map<std::string, std::int64_t> departed;
};

} // namespace dragonflyroad
