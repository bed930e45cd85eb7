#pragma once

#include "bench/record.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflyroad::bench {

/// Seeds per deployment; the worst result is reported.
constexpr std::uint64_t seed_count = 20;

/// Keeps the worst value of one metric over all seeds of a deployment.
class worst_value_record {
public:
    worst_value_record(record initial, bool is_lower_better)
        : result(std::move(initial)), lower_is_better(is_lower_better)
    {
    }

    void add(double value, std::uint64_t seed)
    {
        const bool is_worse =
            this->lower_is_better ? value > this->result.value : value < this->result.value;
        if (this->is_empty || is_worse) {
            this->result.value = value;
            this->result.seed = seed;
            this->is_empty = false;
        }
    }

    const record& get() const { return this->result; }

private:
    record result;
    bool lower_is_better;
    bool is_empty = true;
};

/// Runs the measurement for this project and then for the baseline, with the same seeds, and
/// returns the records in this order.
inline std::vector<record>
measure_with_baseline(std::vector<record> (*measure)(std::uint64_t, bool), std::uint64_t first_seed)
{
    std::vector<record> records = measure(first_seed, false);
    const std::vector<record> baseline = measure(first_seed, true);
    records.insert(records.end(), baseline.begin(), baseline.end());
    return records;
}

} // namespace dragonflyroad::bench
