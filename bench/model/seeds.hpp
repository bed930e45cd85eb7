#pragma once

#include "bench/record.hpp"

#include <cstdint>
#include <string>

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

} // namespace dragonflyroad::bench
