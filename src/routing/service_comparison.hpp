#pragma once

#include "routing/outlier_detector.hpp"

#include <vector>

namespace dragonflyroad {

/// Whether the upstream is announced as ready for new work.
bool is_ready(const upstream_assessment& assessment);

/// Whether the upstream counts as faulty when the service as a whole is assessed.
bool looks_bad(const upstream_assessment& assessment);

/// Whether more than a third of the ready upstreams look faulty: the service as a whole is slow.
bool is_service_slow(const std::vector<upstream_assessment>& service);

/// Whether at least two thirds of the other upstreams in use are below `suspicion_to_reduce` and
/// have given an ordinary response to a request that began after `assessment.bad_since`, so that
/// there is something to compare with. Without this check, the first of many upstreams to look slow
/// would be ejected at the start of a slowdown of the whole service.
bool others_are_healthy(const std::vector<upstream_assessment>& service,
                        const upstream_assessment& assessment);

/// The share of announced slots that belong to upstreams in the step `healthy`, except `excluded`.
double healthy_slot_share(const std::vector<upstream_assessment>& service,
                          const upstream_entry* excluded);

} // namespace dragonflyroad
