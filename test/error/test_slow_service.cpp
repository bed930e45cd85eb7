#include "test/error/fleet_helpers.hpp"

using namespace dragonflyroad;
using namespace dragonflyroad::bench;

// Guards against ejections while the service as a whole is slow, bursts, or has cold upstreams:
// each upstream that is taken out makes the others slower.
TEST_CASE("a service that is slow as a whole, bursts or starts cold loses no upstream")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        for (const auto situation :
             {harmless::slow_service, harmless::burst, harmless::cold_start}) {
            CAPTURE(seed);
            CAPTURE(to_name(situation));
            for (const auto& deployment : deployment_names()) {
                const auto shapes = service_shapes(deployment);
                const scenario plan =
                    harmless_scenario(situation, shapes[seed % shapes.size()], seed, false);
                CHECK(count_ejections(plan).false_ejections == 0);
            }
        }
    }
}
