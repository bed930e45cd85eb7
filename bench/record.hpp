#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace dragonflyroad::bench {

/// How a value is compared with its bound; `none` means that it has no bound.
enum class bound_kind { at_most, at_least, none };

/// One measured value. The bound is the stated target, not an earlier result.
struct record {
    std::string bench;
    std::string deployment;
    std::string measure;
    double value = 0;
    std::string unit;
    double bound = 0;
    bound_kind kind = bound_kind::at_most;
    std::uint64_t seed = 0;
};

/// Prints one record as a key=value line and returns whether its value is within the bound.
bool print(const record& result);

/// One benchmark. `run` takes the first seed and returns the records. Benchmarks that read a real
/// clock are `live`, and CI does not check their bounds.
struct benchmark {
    std::string name;
    bool live = false;
    std::function<std::vector<record>(std::uint64_t seed)> run;
};

/// All benchmarks. A file adds its own with a namespace-scope `const registration`.
std::vector<benchmark>& registry();

struct registration {
    explicit registration(benchmark entry) { registry().push_back(std::move(entry)); }
};

} // namespace dragonflyroad::bench
