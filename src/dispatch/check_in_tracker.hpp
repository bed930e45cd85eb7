#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "dispatch/departed_lifetimes.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace dragonflyroad {

enum class check_in_state { ready, draining };

/// The state that an upstream reports when it checks in.
struct upstream_check_in {
    /// Id of this lifetime of the upstream, which is one run of its process. A restarted upstream
    /// may keep its id.
    std::string id;
    std::string address;
    service_name service;
    std::uint32_t slots = 1;
    check_in_state state = check_in_state::ready;
    /// Time for which the upstream will still be slow because it started recently.
    std::chrono::milliseconds remaining_cold_start{0};
    /// Increases with each report of the same lifetime.
    std::int64_t sequence = 0;
    /// Unix time of the start in milliseconds. Tells lifetimes with the same id apart.
    std::int64_t started_at = 0;
};

/// The upstream beside this node, as described by the latest accepted report.
struct local_upstream {
    std::string id;
    std::string address;
    service_name service;
    std::uint32_t slots = 1;
    bool is_draining = false;
    /// An earlier start with this id says that it leaves, or one of unknown start has left. It may
    /// be the present process, so no work is sent until this start reports again.
    bool is_withheld = false;
    time_point cold_until{};
    std::int64_t sequence = 0;
    std::int64_t started_at = 0;
};

enum class check_in_verdict {
    /// A newer report of the current lifetime.
    accepted,
    /// The first report of a new lifetime.
    started,
    /// A report of an older or deregistered lifetime, or one of the current lifetime that is not
    /// newer than the latest.
    outdated,
    /// A report of an older start with the current id that says that it drains. The current one
    /// gets no work until it reports again.
    withheld,
};

/// Decides which reports of the upstream beside this node are accepted. A report may arrive late,
/// after its sender has ended and another lifetime has started at the same address. Not
/// synchronised.
class check_in_tracker {
public:
    check_in_verdict apply(const upstream_check_in& report, time_point now);

    /// Records that the lifetime with this id, and this start if the call states one, has
    /// deregistered. False when it is not the current one; if it is an earlier start of the same
    /// id, the current one gets no work until it reports again.
    bool record_deregistration(const std::string& id,
                               std::optional<std::int64_t> stated_start = std::nullopt);

    /// Discards the current lifetime after another process was found at its address.
    void discard_current() { this->latest.reset(); }

    /// The lifetimes that have left, and the current one if it drains: what a later process of this
    /// node must know.
    departed_lifetimes departures() const;

    /// Takes over what an earlier process of this node has recorded. True when the current lifetime
    /// turns out to have left, so that it is no longer current, or may have left, so that it gets
    /// no work until it reports again.
    bool restore(const departed_lifetimes& recorded);

    const std::optional<local_upstream>& current() const { return this->latest; }

private:
    /// Applies a report that is not newer than what is known and says that its sender drains. It is
    /// acknowledged as every such report, so it counts whatever came before it.
    check_in_verdict apply_late_draining(const upstream_check_in& report);
    /// Whether a lifetime with this id has left whose start is not known. The first report of a
    /// start under the id may then be a late one of that lifetime, so the start gets no work until
    /// it reports again.
    bool has_left_unstated(const std::string& id) const;
    /// Withholds work from the current lifetime, because an earlier start with its id leaves.
    void withhold(std::int64_t left_start);

    std::optional<local_upstream> latest;
    departed_lifetimes departed;
};

} // namespace dragonflyroad
