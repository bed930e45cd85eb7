#include "bench/model/fleet_model.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace dragonflyroad;
using namespace dragonflyroad::bench;
using namespace std::chrono_literals;

// Guards against detection times above the targets: a median of 500 ms and a maximum of 2 s.
TEST_CASE("a stalled or tenfold slower upstream is detected within the targets")
{
    for (const std::string& deployment : deployment_names()) {
        for (std::uint64_t seed = 101; seed <= 103; ++seed) {
            CAPTURE(deployment);
            CAPTURE(seed);
            std::vector<duration> times;
            for (const service_shape& shape : service_shapes(deployment)) {
                for (const auto fault : {upstream_fault::stall, upstream_fault::slow}) {
                    scenario plan;
                    plan.shape = shape;
                    plan.seed = seed;
                    plan.length = 16s;
                    const time_point begin = fleet_model::start() + 8s;
                    plan.schedule.push_back(
                        {begin, scheduled_event::kind::fault, seed % shape.upstreams, 0, 1, fault});
                    fleet_model model(plan);
                    std::vector<duration> found(model.node_count(), 8s);
                    model.run([&](const fleet_model& fleet, std::size_t node, time_point now) {
                        const ejection_step step = fleet.node(node).step(seed % shape.upstreams);
                        if (now >= begin && step == ejection_step::ejected) {
                            found[node] = std::min(found[node], now - begin);
                        }
                    });
                    times.insert(times.end(), found.begin(), found.end());
                }
            }
            std::sort(times.begin(), times.end());
            CHECK(times[times.size() / 2] <= 500ms);
            CHECK(times.back() <= 2s);
        }
    }
}
