#include "routing/service_comparison.hpp"

namespace dragonflyroad {
namespace {

// More than one completed bad request adds at a service that is rarely bad (4.1).
constexpr double suspicion_of_slow_service = 4.5;
constexpr double slow_service_share = 1.0 / 3;
constexpr double healthy_others_share = 2.0 / 3;

} // namespace

bool is_ready(const upstream_assessment& assessment)
{
    return assessment.upstream->state.load() == upstream_state::ready;
}

bool looks_bad(const upstream_assessment& assessment)
{
    return assessment.suspicion >= suspicion_of_slow_service ||
           assessment.upstream->step.load() == ejection_step::ejected ||
           assessment.upstream->step.load() == ejection_step::probation;
}

bool is_service_slow(const std::vector<upstream_assessment>& service)
{
    double ready = 0;
    double bad = 0;
    for (const upstream_assessment& assessment : service) {
        if (is_ready(assessment)) {
            ready += 1;
            bad += looks_bad(assessment) ? 1 : 0;
        }
    }
    return bad > ready * slow_service_share;
}

bool others_are_healthy(const std::vector<upstream_assessment>& service,
                        const upstream_assessment& assessment)
{
    double used = 0;
    double healthy = 0;
    for (const upstream_assessment& other : service) {
        if (other.upstream == assessment.upstream || !is_ready(other) ||
            other.upstream->step.load() == ejection_step::ejected) {
            continue;
        }
        const bool is_healthy = other.suspicion < suspicion_to_reduce &&
                                other.upstream->statistics.last_good_start() > assessment.bad_since;
        if (is_healthy || other.suspicion > 0 || other.upstream->in_flight.load() > 0) {
            used += 1;
            healthy += is_healthy ? 1 : 0;
        }
    }
    return healthy > 0 && healthy >= used * healthy_others_share;
}

double healthy_slot_share(const std::vector<upstream_assessment>& service,
                          const upstream_entry* excluded)
{
    double announced = 0;
    double healthy = 0;
    for (const upstream_assessment& assessment : service) {
        if (!is_ready(assessment)) {
            continue;
        }
        const double slots = assessment.upstream->slots.load();
        announced += slots;
        if (assessment.upstream.get() != excluded &&
            assessment.upstream->step.load() == ejection_step::healthy) {
            healthy += slots;
        }
    }
    return announced > 0 ? healthy / announced : 1;
}

} // namespace dragonflyroad
