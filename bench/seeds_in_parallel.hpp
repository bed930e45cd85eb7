#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <future>
#include <vector>

namespace dragonflyroad::bench {

/// Runs side by side: more would take the whole of a CI machine that others share.
constexpr std::size_t parallel_runs = 4;

/// Runs `measure(0)` to `measure(count - 1)`, several at a time, and returns the results in this
/// order. `measure` shares no state between its calls and reads no real clock.
template<class Measure>
auto run_in_parallel(std::size_t count, const Measure& measure)
{
    std::vector<decltype(measure(count))> results(count);
    std::atomic<std::size_t> next{0};
    std::vector<std::future<void>> workers;
    for (std::size_t worker = 0; worker < std::min(count, parallel_runs); ++worker) {
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
