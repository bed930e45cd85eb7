#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace dragonflyroad::bench {

/// One service of a deployment.
struct service_shape {
    std::string deployment;
    std::string service;
    std::size_t upstreams = 6;
    std::uint32_t slots = 7;
    /// One-way delay between data centres.
    duration link_delay{0};
};

/// The services of the deployments `ledgerworks` and `siamcite`, with the sizes in docs/design.md.
const std::vector<service_shape>& service_shapes();

/// The services of one deployment.
std::vector<service_shape> service_shapes(const std::string& deployment);

const std::vector<std::string>& deployment_names();

} // namespace dragonflyroad::bench
