#pragma once

#include "routing/outlier_detector.hpp"

#include <vector>

namespace dragonflyroad {

/// Whether the upstream is announced for new work.
bool is_ready(const upstream_assessment& seen);

/// Whether the upstream counts as bad when a service is judged as a whole.
bool looks_bad(const upstream_assessment& seen);

/// Whether more than a third of the ready upstreams look bad: the service is slow as a whole.
bool is_service_slow(const std::vector<upstream_assessment>& service);

/// Whether most other upstreams have answered a request that began after the first bad one of
/// `seen`: only then is there something to compare with. Without it, the first of many upstreams to
/// look slow would be taken out at the start of a slowdown of the whole service.
bool peers_are_sound(const std::vector<upstream_assessment>& service,
                     const upstream_assessment& seen);

/// The share of announced slots on upstreams in the step healthy, leaving out `without`.
double unsuspected_share(const std::vector<upstream_assessment>& service,
                         const upstream_entry* without);

} // namespace dragonflyroad
