#include "bench/limits_scenario.hpp"

namespace dragonflyroad::bench {
namespace {

double refused_percent(const limits_result& result)
{
    constexpr double percent = 100;
    return percent * static_cast<double>(result.in_rate_refused) /
           static_cast<double>(result.in_rate);
}

// Measures which percentage of the requests within the rate of their organisation is refused by
// admission, including the time of faults. A request is within the rate if a token bucket with the
// whole rate and burst would have admitted it. Excludes the organisation that sends 8 times its
// rate.
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
