#pragma once

#include "bench/membership_fleet.hpp"

#include <cstdint>
#include <set>

namespace dragonflyroad::bench {

/// Spreads revisions of the configuration through a fleet: two watchers per data centre learn of a
/// change from the store, all others from the revision in a datagram, which they then fetch.
class config_spread {
public:
    config_spread(const fleet_shape& shape, std::uint64_t seed);

    /// Accepts one change in the store and returns the seconds until the last running member has
    /// it, or `give_up` when one still lacks it by then.
    double change_once(std::uint64_t seed, double give_up);

    /// Data centres whose watchers do not reach the store.
    std::set<std::size_t> cut_off;
    membership_fleet fleet;

private:
    void fetch(std::size_t node, std::size_t from, revision_number revision);
    duration exchange_time(std::size_t node, std::size_t from);

    revision_number latest = 0;
    std::size_t missing = 0;
    time_point completed;
    /// Revisions that members are fetching, so that a member fetches each once at a time.
    std::set<std::pair<std::size_t, revision_number>> fetching;
};

} // namespace dragonflyroad::bench
