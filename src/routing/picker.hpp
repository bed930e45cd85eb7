#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/random.hpp"
#include "routing/upstream_set.hpp"

#include <chrono>
#include <memory>
#include <span>

namespace dragonflyroad {

/// The properties of a request that the picker considers.
struct pick_request {
    /// Upstreams that this request has already been tried on.
    std::span<const upstream_id> excluded;
    /// Whether the request may run twice. Such requests are preferred as probes during probation.
    bool is_repeatable = false;
};

/// Duration of the slow start: a cold upstream's weight rises from a tenth to the full weight.
constexpr std::chrono::seconds slow_start{10};

/// The upstream's current weight as a share of its full weight, 0 to 1.
double routing_weight(const upstream_entry& upstream, time_point now);

/// Picks an upstream by power of two choices: of two random ones, the one with the lower expected
/// waiting time, (in flight + 1) x latency / (slots x weight). Draining, expired, ejected and
/// excluded upstreams are never picked, nor those at their concurrency limit, which probes and
/// verifications may exceed. An upstream in probation is preferred when a probe is due, and an
/// upstream that waits for verifications is preferred for repeatable requests. Returns null when no
/// upstream can accept the request now.
std::shared_ptr<upstream_entry> pick(const service_view& view, const pick_request& request,
                                     random_engine& random, time_point now);

/// Whether the view has an upstream that could accept the request later, when requests in flight
/// have finished or a probe is due. If not, queueing the request is pointless.
bool has_usable_upstream(const service_view& view, const pick_request& request);

} // namespace dragonflyroad
