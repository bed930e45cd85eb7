#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <future>
#include <vector>

namespace dragonflyroad::bench {

/// Maximum number of parallel runs. More would use all cores of a CI computer that others share.
constexpr std::size_t max_parallel_runs = 4;

/// Runs `measure(0)` to `measure(count - 1)` in parallel and returns the results in this order.
/// `measure` must not share state between its calls or read a real clock.
template<class Measure>
auto run_in_parallel(std::size_t count, const Measure& measure)
{
    std::vector<decltype(measure(count))> results(count);
    std::atomic<std::size_t> next{0};
    std::vector<std::future<void>> workers;
    for (std::size_t worker = 0; worker < std::min(count, max_parallel_runs); ++worker) {
        workers.push_back(std::async(std::launch::async, [&] {
            for (std::size_t index = next++; index < count; index = next++) {
                results[index] = measure(index);
            }
        }));
    }
    for (auto& worker : workers) {
        worker.get();
    }
    return results;
}

} // namespace dragonflyroad::bench
