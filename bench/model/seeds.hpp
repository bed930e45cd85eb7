#pragma once

#include "bench/record.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflyroad::bench {

/// Seeds per deployment; the worst one counts.
constexpr std::uint64_t seed_count = 20;

/// Keeps the worst value of one measure over all seeds of a deployment.
class worst_of {
public:
    worst_of(record base, bool is_lower_better) : result(std::move(base)), lower(is_lower_better) {}

    void add(double value, std::uint64_t seed)
    {
        const bool is_worse = this->lower ? value > this->result.value : value < this->result.value;
        if (this->is_empty || is_worse) {
            this->result.value = value;
            this->result.seed = seed;
            this->is_empty = false;
        }
    }

    const record& get() const { return this->result; }

private:
    record result;
    bool lower;
    bool is_empty = true;
};

/// The records of this project followed by those of the baseline, for the same seeds.
inline std::vector<record> with_baseline(std::vector<record> (*measure)(std::uint64_t, bool),
                                         std::uint64_t first_seed)
{
    std::vector<record> records = measure(first_seed, false);
    const std::vector<record> baseline = measure(first_seed, true);
    records.insert(records.end(), baseline.begin(), baseline.end());
    return records;
}

} // namespace dragonflyroad::bench
