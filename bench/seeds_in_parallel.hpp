#pragma once

#include "bench/record.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <future>
#include <vector>

namespace dragonflyroad::bench {

/// Benchmarks that run side by side. More would take a CI machine that others share.
constexpr std::size_t parallel_runs = 4;

/// Runs `measure(0)` to `measure(count - 1)`, several at a time, and returns the results in this
/// order. `measure` shares no state between its calls and reads no real clock.
template<class Measure>
auto run_in_parallel(std::size_t count, const Measure& measure)
{
    std::vector<decltype(measure(std::size_t{0}))> results;
    for (std::size_t first = 0; first < count; first += parallel_runs) {
        std::vector<std::future<decltype(measure(std::size_t{0}))>> batch;
        for (std::size_t index = first; index < std::min(count, first + parallel_runs); ++index) {
            batch.push_back(std::async(std::launch::async, measure, index));
        }
        for (auto& entry : batch) {
            results.push_back(entry.get());
        }
    }
    return results;
}

/// The record with the highest value over `seeds` seeds, the first of equal ones.
inline record worst_in_parallel(std::uint64_t first_seed, std::uint64_t seeds,
                                const std::function<record(std::uint64_t seed)>& measure)
{
    const auto records =
        run_in_parallel(seeds, [&](std::size_t index) { return measure(first_seed + index); });
    return *std::max_element(
        records.begin(), records.end(),
        [](const record& left, const record& right) { return left.value < right.value; });
}

} // namespace dragonflyroad::bench
