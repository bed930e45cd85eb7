#pragma once

#include "bench/membership_fleet.hpp"

#include <cstdint>
#include <set>

namespace dragonflyroad::bench {

/// Simulates how configuration revisions spread through a fleet. Two watchers per data centre learn
/// of a change from the store; every other member reads the new revision number in a datagram and
/// fetches the change from the sender of the datagram.
class config_spread {
public:
    config_spread(const fleet_shape& shape, std::uint64_t seed);

    /// Adds one change to the store. Returns the seconds until all running members have adopted it,
    /// at most `timeout_seconds`.
    double measure_change(std::uint64_t seed, double timeout_seconds);

    /// Data centres whose watchers cannot reach the store.
    std::set<std::size_t> cut_off;
    membership_fleet fleet;

private:
    void fetch(std::size_t node, std::size_t from, revision_number revision);
    duration exchange_time(std::size_t node, std::size_t from);

    revision_number latest = 0;
    std::size_t missing = 0;
    time_point completed;
    /// The member and the revision of each fetch in progress, so that a member does not fetch a
    /// revision twice at the same time.
    std::set<std::pair<std::size_t, revision_number>> fetching;
};

} // namespace dragonflyroad::bench
