#include "test/error/fleet_helpers.hpp"

using namespace dragonflyroad;
using namespace dragonflyroad::bench;

// Guards against ejections while the whole service is slow, receives a burst of load or has cold
// upstreams: each ejection shifts load to the other upstreams and slows them down further.
TEST_CASE("no upstream is ejected while the whole service is slow, under a burst or cold")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        for (const auto situation : {benign_condition::slow_service, benign_condition::burst,
                                     benign_condition::cold_start}) {
            CAPTURE(seed);
            CAPTURE(to_name(situation));
            for (const auto& deployment : deployment_names()) {
                const auto shapes = service_shapes(deployment);
                const scenario plan =
                    make_benign_scenario(situation, shapes[seed % shapes.size()], seed, false);
                CHECK(count_ejections(plan).false_ejections == 0);
            }
        }
    }
}
