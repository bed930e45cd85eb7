#include "bench/limits_scenario.hpp"

namespace dragonflyroad::bench {
namespace {

double refused_percent(const limits_result& result)
{
    constexpr double percent = 100;
    return percent * static_cast<double>(result.in_rate_refused) /
           static_cast<double>(result.in_rate);
}

// Percentage of the requests within an organisation's rate (a token bucket with its whole rate and
// burst would have admitted them) that admission refused; faults included.
const registration in_rate_refusals{{"in_rate_refusals", false, [](std::uint64_t seed) {
                                         record form;
                                         form.bench = "in_rate_refusals";
                                         form.measure = "in_rate_refusals";
                                         form.unit = "percent";
                                         form.bound = 0.1;
                                         return worst_of_seeds(form, seed, refused_percent);
                                     }}};

} // namespace
} // namespace dragonflyroad::bench
