// Counts ejections of healthy upstreams in situations that make them appear faulty.

#include "bench/model/false_ejections.hpp"
#include "bench/model/seeds.hpp"

namespace dragonflyroad::bench {
namespace {

std::vector<record> measure(std::uint64_t first_seed, bool is_baseline)
{
    std::vector<record> records;
    const std::string name = is_baseline ? "baseline_false_ejections" : "false_ejections";
    const bound_kind kind = is_baseline ? bound_kind::none : bound_kind::at_most;
    for (const std::string& deployment : deployment_names()) {
        const auto shapes = service_shapes(deployment);
        worst_value_record total({name, deployment, "false_ejections", 0, "ejections", 0, kind, 0},
                                 true);
        std::vector<double> sums(seed_count, 0);
        for (int number = 0; number < static_cast<int>(benign_condition::count); ++number) {
            const auto situation = static_cast<benign_condition>(number);
            worst_value_record worst({name, deployment,
                                      "false_ejections_" + std::string{to_name(situation)}, 0,
                                      "ejections", 0, kind, 0},
                                     true);
            for (std::uint64_t index = 0; index < seed_count; ++index) {
                const std::uint64_t seed = first_seed + index;
                const auto& shape =
                    shapes[(seed + static_cast<std::uint64_t>(number)) % shapes.size()];
                const auto counts =
                    count_ejections(make_benign_scenario(situation, shape, seed, is_baseline));
                worst.add(static_cast<double>(counts.false_ejections), seed);
                sums[index] += static_cast<double>(counts.false_ejections);
            }
            records.push_back(worst.get());
        }
        for (std::uint64_t index = 0; index < seed_count; ++index) {
            total.add(sums[index], first_seed + index);
        }
        records.push_back(total.get());
    }
    return records;
}

const registration own{{"false_ejections", false,
                        [](std::uint64_t seed) { return measure_with_baseline(measure, seed); }}};

} // namespace
} // namespace dragonflyroad::bench
