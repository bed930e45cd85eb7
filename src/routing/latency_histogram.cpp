#include "routing/latency_histogram.hpp"

#include <algorithm>
#include <bit>
#include <cstdint>

namespace dragonflyroad {
namespace {

constexpr std::int64_t unit_ns = 50'000;

} // namespace

std::size_t to_latency_bin(duration latency)
{
    const auto units = static_cast<std::uint64_t>(std::max<std::int64_t>(latency.count(), 0)) /
                       static_cast<std::uint64_t>(unit_ns);
    if (units < 2) {
        return static_cast<std::size_t>(units);
    }
    const auto octave = static_cast<std::size_t>(std::bit_width(units)) - 1;
    const std::size_t upper_half = (units >> (octave - 1)) & 1U;
    return std::min(2 * octave + upper_half, latency_bins - 1);
}

duration latency_bin_limit(std::size_t bin)
{
    if (bin < 2) {
        return duration{unit_ns * static_cast<std::int64_t>(bin + 1)};
    }
    const std::size_t octave = bin / 2;
    const std::int64_t half = std::int64_t{1} << (octave - 1);
    const auto halves = static_cast<std::int64_t>(bin % 2 == 0 ? 3 : 4);
    return duration{unit_ns * half * halves};
}

void latency_histogram::decay(double factor)
{
    this->sum = 0;
    for (double& count : this->counts) {
        count *= factor;
        this->sum += count;
    }
}

duration latency_histogram::quantile(double share) const
{
    if (this->sum <= 0) {
        return duration::zero();
    }
    const double target_count = share * this->sum;
    double below = 0;
    for (std::size_t bin = 0; bin < latency_bins; ++bin) {
        const double count = this->counts.at(bin);
        if (count > 0 && below + count >= target_count) {
            const duration lower = bin == 0 ? duration::zero() : latency_bin_limit(bin - 1);
            const auto width = static_cast<double>((latency_bin_limit(bin) - lower).count());
            return lower +
                   duration{static_cast<std::int64_t>(width * (target_count - below) / count)};
        }
        below += count;
    }
    return latency_bin_limit(latency_bins - 1);
}

double latency_histogram::share_above(duration latency) const
{
    if (this->sum <= 0) {
        return 0;
    }
    double above = 0;
    for (std::size_t bin = to_latency_bin(latency) + 1; bin < latency_bins; ++bin) {
        above += this->counts.at(bin);
    }
    return above / this->sum;
}

} // namespace dragonflyroad
