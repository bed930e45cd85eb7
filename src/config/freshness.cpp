#include "config/freshness.hpp"

#include <algorithm>

namespace dragonflyroad {

void freshness::record_proof(time_point as_of)
{
    this->latest_proof_time =
        this->latest_proof_time ? std::max(*this->latest_proof_time, as_of) : as_of;
}

freshness_state freshness::state(time_point now, std::size_t known_nodes,
                                 std::size_t reachable_nodes) const
{
    if (this->latest_proof_time && now < *this->latest_proof_time + proof_lifetime) {
        return freshness_state::current;
    }
    return reachable_nodes * 2 > known_nodes ? freshness_state::fleet_only
                                             : freshness_state::isolated;
}

std::optional<time_point> freshness::latest_proof() const
{
    return this->latest_proof_time;
}

} // namespace dragonflyroad
