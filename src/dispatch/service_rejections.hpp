#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstddef>
#include <deque>
#include <map>

namespace dragonflyroad {

/// Detects from the outcomes of this node's requests that a service as a whole rejects a share of
/// its requests. The load pattern: all upstreams of a service reject a share of their requests for
/// seconds, each request independently of the others, while they serve the rest as before. Such a
/// service is a smaller one, not many broken upstreams: to hold back work from each upstream that
/// rejects several requests in a row leaves slots idle and makes every request wait. One upstream
/// that rejects its requests while others accept theirs is not meant. Not synchronised.
class service_rejections {
public:
    /// Records how an upstream of the service answered: it rejected the request, or it ran it.
    void record(const service_name& service, const node_id& vm, bool is_rejected, time_point now);

    /// Share of the requests that the service has rejected of late, 0 to 1; 0 while too little is
    /// known.
    double rejected_share(const service_name& service, time_point now) const;

    /// Whether several upstreams of the service reject requests, and a large share of them.
    bool is_service_wide(const service_name& service, time_point now) const;

private:
    struct outcome {
        node_id vm;
        bool is_rejected = false;
        time_point at{};
    };

    std::map<service_name, std::deque<outcome>> outcomes;
};

} // namespace dragonflyroad
