#include "bench/limits_scenario.hpp"

namespace dragonflyroad::bench {
namespace {

// Lowest ratio of served to offered requests of an organisation that stays within its rate, while
// another one sends 8 times its rate.
const registration worst_organisation_share{
    {"worst_organisation_share", false, [](std::uint64_t seed) {
         record form;
         form.bench = "worst_organisation_share";
         form.measure = "worst_organisation_share";
         form.unit = "ratio";
         form.bound = 0.99;
         form.kind = bound_kind::at_least;
         return worst_of_seeds(form, seed,
                               [](const limits_result& result) { return result.worst_share; });
     }}};

} // namespace
} // namespace dragonflyroad::bench
