#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/random.hpp"
#include "routing/upstream_set.hpp"

#include <chrono>
#include <memory>
#include <span>

namespace dragonflyroad {

/// What the picker needs to know of a request.
struct pick_request {
    /// Upstreams that this request has been tried on.
    std::span<const upstream_id> excluded;
    /// Whether the request may run twice. Such requests are preferred as probes in probation.
    bool is_repeatable = false;
};

/// Time in which a cold upstream rises from a tenth of its weight to all of it.
constexpr std::chrono::seconds slow_start{10};

/// The share of the ordinary work that an upstream should get now, 0 to 1.
double routing_weight(const upstream_entry& upstream, time_point now);

/// Picks an upstream by power of two choices: of two random ones, the one with less expected
/// waiting, (in flight + 1) x latency / (slots x weight). Draining, expired and ejected upstreams,
/// those at their concurrency limit and excluded ones are never picked. An upstream in probation is
/// preferred when a probe is due, and one to be verified is preferred for repeatable requests.
/// Returns null when none can take work now.
std::shared_ptr<upstream_entry> pick(const service_view& view, const pick_request& request,
                                     random_engine& random, time_point now);

/// Whether any upstream of the view may take work once its requests in flight finish; if not, there
/// is nothing to wait for.
bool has_usable_upstream(const service_view& view, const pick_request& request);

} // namespace dragonflyroad
