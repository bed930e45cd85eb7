#pragma once

#include "core/clock.hpp"

#include <array>
#include <cstddef>

namespace dragonflyroad {

/// Two bins per octave from 50 us to 50 s: enough resolution to tell a tenfold slowdown from noise,
/// few enough to be read on each tick for every upstream.
constexpr std::size_t latency_bins = 40;

/// The bin that `latency` falls into.
std::size_t to_latency_bin(duration latency);

/// The largest latency that falls into `bin`.
duration latency_bin_limit(std::size_t bin);

/// A latency histogram whose counts decay exponentially. Owned by one controller; not synchronised.
class latency_histogram {
public:
    void add(std::size_t bin, double count)
    {
        this->counts.at(bin) += count;
        this->sum += count;
    }

    /// Multiplies all counts by `factor`, between 0 and 1.
    void decay(double factor);

    double total() const { return this->sum; }

    /// The quantile `share` (0 to 1) of the latencies, interpolated within a bin; zero without
    /// samples.
    duration quantile(double share) const;

    /// The share of samples above `latency`, 0 to 1; zero without samples.
    double share_above(duration latency) const;

private:
    std::array<double, latency_bins> counts{};
    double sum = 0;
};

} // namespace dragonflyroad
