#include "test/error/fleet_helpers.hpp"

using namespace dragonflyroad;
using namespace dragonflyroad::bench;

// Guards against mistaking unresponsive pooled connections for a stalled upstream (failure F10).
TEST_CASE("an upstream whose pooled connections hang is probed on new ones and not ejected")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        for (const auto& deployment : deployment_names()) {
            const auto shapes = service_shapes(deployment);
            const scenario plan = make_benign_scenario(benign_condition::silent_connections,
                                                       shapes[seed % shapes.size()], seed, false);
            CHECK(count_ejections(plan).false_ejections == 0);
        }
    }
}
