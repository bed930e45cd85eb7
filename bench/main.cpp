#include "adapters/command_line.hpp"
#include "bench/record.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <fmt/core.h>
#include <string>

using namespace dragonflyroad;
using namespace dragonflyroad::bench;

namespace {

/// Returns whether all values are within their bounds. Prints the duration to standard error, so
/// that standard output is the same in every run of a benchmark that reads no real clock.
bool run_and_print(const benchmark& entry, std::uint64_t seed)
{
    const auto start = std::chrono::steady_clock::now();
    bool all_within_bounds = true;
    for (const record& result : entry.run(seed)) {
        all_within_bounds = print(result) && all_within_bounds;
    }
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - start;
    fmt::print(stderr, "bench={} duration_s={:.1f}\n", entry.name, taken.count());
    return all_within_bounds;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Prints the measures of dragonflyroad, one record per line"};
    bool list = false;
    bool decisions_only = false;
    std::string only;
    std::uint64_t seed = 1;
    app.add_flag("--list", list, "print the names of the benchmarks and exit");
    app.add_flag("--decisions-only", decisions_only, "leave out benchmarks that read a real clock");
    app.add_option("--only", only, "run only the benchmark of this name");
    app.add_option("--seed", seed, "the first seed");
    if (const auto code = parse_command_line(app, argc, argv)) {
        return *code;
    }

    auto& entries = registry();
    std::sort(entries.begin(), entries.end(),
              [](const benchmark& left, const benchmark& right) { return left.name < right.name; });
    bool found = only.empty();
    bool all_within_bounds = true;
    for (const benchmark& entry : entries) {
        if ((!only.empty() && entry.name != only) || (decisions_only && entry.live)) {
            continue;
        }
        found = true;
        if (list) {
            fmt::print("{}{}\n", entry.name, entry.live ? " (live)" : "");
            continue;
        }
        all_within_bounds = run_and_print(entry, seed) && all_within_bounds;
    }
    if (!found) {
        fmt::print(stderr, "no benchmark is named {}; --list prints the names\n", only);
        return exit_usage;
    }
    return all_within_bounds ? 0 : 1;
}
