#include "test/error/fleet_helpers.hpp"

using namespace dragonflyroad;
using namespace dragonflyroad::bench;
using namespace std::chrono_literals;

// Guards against undetected gray failures (failure F1): the upstream passes every health check but
// stalls or is ten times slower than usual.
TEST_CASE("every node ejects a stalled or tenfold slower upstream and readmits it")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        for (const auto fault : {upstream_fault::stall, upstream_fault::slow}) {
            CAPTURE(seed);
            scenario plan = single_fault_scenario(seed, fault, 1);
            plan.length = 22s;
            scheduled_event end = plan.schedule.front();
            end.at = fleet_model::start() + 10s;
            end.fault = upstream_fault::none;
            plan.schedule.push_back(end);
            fleet_model model(plan);
            std::vector<bool> was_ejected(model.node_count(), false);
            model.run([&](const fleet_model& fleet, std::size_t node, time_point now) {
                const ejection_step step = fleet.node(node).step(1);
                const bool is_fault_active = now > plan.schedule.front().at && now < end.at;
                was_ejected[node] =
                    was_ejected[node] || (is_fault_active && step == ejection_step::ejected);
            });
            for (std::size_t node = 0; node < model.node_count(); ++node) {
                CHECK(was_ejected[node]);
                CHECK(model.node(node).step(1) != ejection_step::ejected);
            }
        }
    }
}

// Guards against attributing the fault of one network path to the upstream (failure F3), and
// against a node that keeps sending to an upstream it cannot reach.
TEST_CASE("an upstream that one node cannot reach stays in use everywhere else")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        scenario plan = single_fault_scenario(seed, upstream_fault::none, 1);
        plan.schedule.front().what = seed % 2 == 0 ? scheduled_event::kind::drop_responses
                                                   : scheduled_event::kind::drop_requests;
        plan.schedule.front().node = 2;
        fleet_model model(plan);
        bool was_avoided = false;
        model.run([&](const fleet_model& fleet, std::size_t node, time_point now) {
            const bool is_ejected = fleet.node(node).step(1) == ejection_step::ejected;
            if (node == 2 && now > plan.schedule.front().at) {
                was_avoided = was_avoided || is_ejected;
                CHECK(fleet.node(node).scope(1) != fault_scope::upstream);
            }
            else {
                CHECK_FALSE(is_ejected);
            }
        });
        CHECK(was_avoided);
    }
}
