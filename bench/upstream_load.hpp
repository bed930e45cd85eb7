#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "routing/upstream_set.hpp"

#include <cstddef>

namespace dragonflyroad::bench {

service_name nth_service(std::size_t number);

/// Announces `per_service` warm upstreams for each of `services` services.
void fill_upstreams(upstream_set& set, std::size_t services, std::size_t per_service,
                    time_point now);

} // namespace dragonflyroad::bench
