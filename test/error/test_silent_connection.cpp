#include "test/error/fleet_helpers.hpp"

using namespace dragonflyroad;
using namespace dragonflyroad::bench;

// Guards against unresponsive pooled connections (F10) that are taken for a stalled upstream.
TEST_CASE("an upstream whose pooled connections hang is verified on fresh ones and kept")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        for (const auto& deployment : deployment_names()) {
            const auto shapes = service_shapes(deployment);
            const scenario plan = harmless_scenario(harmless::silent_connections,
                                                    shapes[seed % shapes.size()], seed, false);
            CHECK(count_ejections(plan).false_ejections == 0);
        }
    }
}
