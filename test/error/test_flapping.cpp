#include "test/error/fleet_helpers.hpp"

using namespace dragonflyroad;
using namespace dragonflyroad::bench;
using namespace std::chrono_literals;

// Guards against an upstream that flaps (F2) and returns at each of its good turns: ejection times
// must grow, so that it is out for most of the time.
TEST_CASE("a flapping upstream is out for longer and longer")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        scenario plan = one_fault(seed, upstream_fault::flap, 2);
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
