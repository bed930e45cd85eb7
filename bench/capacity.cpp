// Measures for docs/CAPACITY.md how costs grow with size, most of them at three sizes. Reads real
// clocks.

#include "bench/capacity.hpp"

#include <algorithm>
#include <string>

namespace dragonflyroad::bench {
namespace {

std::vector<record> run_registered(const std::string& name, std::uint64_t seed)
{
    const auto& entries = registry();
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [&](const benchmark& entry) { return entry.name == name; });
    return found == entries.end() ? std::vector<record>{} : found->run(seed);
}

std::vector<record> run(std::uint64_t seed)
{
    std::vector<record> records = state_memory(seed);
    const auto add = [&records](const std::vector<record>& some) {
        records.insert(records.end(), some.begin(), some.end());
    };
    add(state_size(seed));
    add(config_slopes(seed));
    add(run_registered("config_memory", seed));
    add(run_registered("limits_cost", seed));
    add(run_registered("decision_cost", seed));
    add(routing_cost_at_target(seed));
    add(control_cpu_at_target(seed));
    add(control_bytes_at_target(seed));
    add(config_in_force_time_at_target(seed));
    return records;
}

const registration entry{{"capacity", true, run}};

} // namespace
} // namespace dragonflyroad::bench
