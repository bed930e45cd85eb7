#pragma once

#include "core/clock.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace dragonflyroad {

/// Decides when this node may admit requests for the quota groups that it holds, across eras of the
/// store. Answers the fault that a quota is given out twice: the store comes back from a copy
/// without the key of a group, another node claims it, and the holder, cut off from the store,
/// learns nothing of it until its lease ends.
///
/// A holder keeps its right into a new era for as long as its lease in the ended one was certain to
/// last. A node that holds a group in the new era without such a right waits until every lease of
/// the ended era has expired. Only a holder that claims its group again while its right lasts goes
/// on without a pause. Not synchronised.
class group_tenure {
public:
    /// `lease_time` is the longest time to live of a lease under which groups are held.
    explicit group_tenure(std::chrono::milliseconds lease_time) : longest_lease(lease_time) {}

    /// A new era was seen. Nothing is held in it yet. `valid_until` is the end of the lease under
    /// which the groups were held.
    void begin_era(time_point now, time_point valid_until);
    /// A claim of the group was committed in the current era. `is_settled` tells that the era began
    /// so long ago that every lease of the ended one has expired.
    void hold(std::size_t group, time_point now, bool is_settled);
    /// The group is lost or given up. True when it was held or this node had a right from before.
    bool release(std::size_t group);
    /// The groups whose right from the ended era has lapsed without a new claim, which are
    /// released.
    std::vector<std::size_t> release_lapsed(time_point now);

    bool is_held(std::size_t group) const;
    bool holds_any() const;
    /// Whether this node's right from the ended era still lasts.
    bool has_inherited(std::size_t group, time_point now) const;
    /// `is_lease_valid` tells of the lease in the current era.
    bool may_admit(std::size_t group, time_point now, bool is_lease_valid, bool is_settled) const;

private:
    struct right {
        bool is_held = false;
        time_point admits_from{};
        time_point inherited_until{};
    };

    std::chrono::milliseconds longest_lease;
    time_point others_until{};
    std::map<std::size_t, right> rights;
};

} // namespace dragonflyroad
