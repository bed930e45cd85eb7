#include "bench/limits_scenario.hpp"

namespace dragonflyroad::bench {
namespace {

// Invariant I5: the fleet admits no more than rate x time + burst. Measures the excess of the worst
// organisation in the worst window.
const registration over_admission{
    {"over_admission", false, [](std::uint64_t seed) {
         record form;
         form.bench = "over_admission";
         form.measure = "over_admission";
         form.unit = "requests";
         form.bound = 0;
         return worst_of_seeds(form, seed,
                               [](const limits_result& result) { return result.over_admitted; });
     }}};

} // namespace
} // namespace dragonflyroad::bench
