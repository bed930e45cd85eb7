#include "dispatch/vm_selector.hpp"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};
constexpr upstream_load_report idle{0, 0, 4, 400ms};

std::vector<vm_candidate> vms_named(const std::string& prefix, int count, bool is_same_centre)
{
    std::vector<vm_candidate> vms;
    vms.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        vms.push_back({node_id{prefix + std::to_string(index)}, is_same_centre, false});
    }
    return vms;
}

} // namespace

// Guards against an upstream that a node asks again and again while others idle.
TEST_CASE("among VMs with the same wait, those that were not asked for longest are asked")
{
    const auto vms = vms_named("vm-", 6, true);
    service_candidates candidates{vms};
    service_load loads;
    for (int index = 0; index < 6; ++index) {
        const time_point asked = start + index * 1s;
        loads.record_sent(vms[static_cast<std::size_t>(index)].vm, asked);
        loads.record(vms[static_cast<std::size_t>(index)].vm, idle, asked);
    }
    random_engine random{1};
    const auto chosen = vm_selector{}.choose(candidates, {2}, loads, random, start + 6s);
    CHECK(std::set(chosen.begin(), chosen.end()) == std::set{vms[0].vm, vms[1].vm});
}

// Guards against billed traffic between data centres that saves no wait, and against requests that
// wait in a full data centre while another has free slots.
TEST_CASE("a VM of another data centre is asked once the wait in this one costs more")
{
    auto vms = vms_named("near-", 3, true);
    const auto far = vms_named("far-", 3, false);
    vms.insert(vms.end(), far.begin(), far.end());
    service_candidates candidates{vms};
    random_engine random{1};
    service_load loads;
    for (const vm_candidate& candidate : vms) {
        loads.record(candidate.vm, idle, start);
    }
    CHECK(vm_selector{}.choose(candidates, {1}, loads, random, start).front().value[0] == 'n');
    for (int index = 0; index < 3; ++index) {
        loads.record(vms[static_cast<std::size_t>(index)].vm, {4, 2, 4, 400ms}, start);
    }
    CHECK(vm_selector{}.choose(candidates, {1}, loads, random, start).front().value[0] == 'f');
}

// Guards against a sample that holds only VMs which are gone, after most of a data centre was lost.
TEST_CASE("VMs that cannot be reached do not use up the sample")
{
    auto vms = vms_named("gone-", 100, true);
    vms.push_back({node_id{"left"}, true, false});
    service_candidates candidates{vms};
    vm_selector selector;
    for (int index = 0; index < 100; ++index) {
        selector.record_unreachable(vms[static_cast<std::size_t>(index)].vm, start);
    }
    random_engine random{1};
    CHECK(selector.choose(candidates, {1}, {}, random, start).front() == node_id{"left"});
}

// Guards against VMs that are asked twice for one request.
TEST_CASE("excluded VMs are not chosen")
{
    service_candidates candidates{vms_named("vm-", 3, true)};
    random_engine random{1};
    const auto is_first = [](const node_id& vm) { return vm == node_id{"vm-0"}; };
    const auto chosen = vm_selector{}.choose(candidates, {3, 0, is_first}, {}, random, start);
    CHECK(std::set(chosen.begin(), chosen.end()) == std::set{node_id{"vm-1"}, node_id{"vm-2"}});
}
