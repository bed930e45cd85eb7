#include "routing/service_comparison.hpp"

namespace dragonflyroad {
namespace {

// More than one bad request of a service that is rarely bad.
constexpr double suspicion_of_slow_service = 4.5;
constexpr double slow_service_share = 1.0 / 3;
constexpr double sound_peers_share = 2.0 / 3;

} // namespace

bool is_ready(const upstream_assessment& seen)
{
    return seen.upstream->state.load() == upstream_state::ready;
}

bool looks_bad(const upstream_assessment& seen)
{
    return seen.suspicion >= suspicion_of_slow_service ||
           seen.upstream->step.load() == ejection_step::ejected ||
           seen.upstream->step.load() == ejection_step::probation;
}

bool is_service_slow(const std::vector<upstream_assessment>& service)
{
    double ready = 0;
    double bad = 0;
    for (const upstream_assessment& seen : service) {
        if (is_ready(seen)) {
            ready += 1;
            bad += looks_bad(seen) ? 1 : 0;
        }
    }
    return bad > ready * slow_service_share;
}

bool peers_are_sound(const std::vector<upstream_assessment>& service,
                     const upstream_assessment& seen)
{
    double used = 0;
    double sound = 0;
    for (const upstream_assessment& other : service) {
        if (other.upstream == seen.upstream || !is_ready(other) ||
            other.upstream->step.load() == ejection_step::ejected) {
            continue;
        }
        const bool is_sound = other.suspicion < suspicion_to_reduce &&
                              other.upstream->statistics.last_good_start() > seen.bad_since;
        if (is_sound || other.suspicion > 0 || other.upstream->in_flight.load() > 0) {
            used += 1;
            sound += is_sound ? 1 : 0;
        }
    }
    return sound > 0 && sound >= used * sound_peers_share;
}

double unsuspected_share(const std::vector<upstream_assessment>& service,
                         const upstream_entry* without)
{
    double announced = 0;
    double unsuspected = 0;
    for (const upstream_assessment& seen : service) {
        if (!is_ready(seen)) {
            continue;
        }
        const double slots = seen.upstream->slots.load();
        announced += slots;
        if (seen.upstream.get() != without &&
            seen.upstream->step.load() == ejection_step::healthy) {
            unsuspected += slots;
        }
    }
    return announced > 0 ? unsuspected / announced : 1;
}

} // namespace dragonflyroad
