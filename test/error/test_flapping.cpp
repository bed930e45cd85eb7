#include "test/error/fleet_helpers.hpp"

using namespace dragonflyroad;
using namespace dragonflyroad::bench;
using namespace std::chrono_literals;

// Guards against a flapping upstream (failure F2) that returns to rotation in each of its healthy
// phases. Ejection times must grow, so that the upstream is out of rotation for most of the time.
TEST_CASE("ejections of a flapping upstream grow longer")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        scenario plan = single_fault_scenario(seed, upstream_fault::flap, 2);
        plan.length = 50s;
        fleet_model model(plan);
        double ticks = 0;
        double out = 0;
        model.run([&](const fleet_model& fleet, std::size_t node, time_point now) {
            if (now > fleet_model::start() + 20s) {
                const ejection_step step = fleet.node(node).step(2);
                ticks += 1;
                out += step == ejection_step::ejected || step == ejection_step::probation ? 1 : 0;
            }
        });
        CHECK(out / ticks > 0.6);
    }
}
