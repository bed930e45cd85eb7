#include "adapters/command_line.hpp"
#include "core/failure.hpp"
#include "standin/load_generator.hpp"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include <fmt/format.h>

using namespace dragonflyroad;

namespace {

struct command_line {
    standin::load_options options;
    std::vector<std::string> loads;
    std::int64_t run_for_ms = 5'000;
    bool check = false;
};

void add_options(CLI::App& app, command_line& line)
{
    app.set_version_flag("--version", "0.1.0");
    app.add_option("--node", line.options.nodes,
                   "caller address of a node (ip:port); may be repeated")
        ->required();
    app.add_option("--load", line.loads,
                   "organisation:key:rate, rate in requests per second; may be repeated")
        ->required();
    app.add_option("--path", line.options.path, "path of GET requests");
    app.add_option("--unsafe-path", line.options.unsafe_path,
                   "path of POST requests; default: the same path");
    app.add_option("--unsafe-share", line.options.unsafe_share, "share of POST requests, 0 to 1");
    app.add_option("--resend-share", line.options.resend_share,
                   "share of POST requests sent twice, 0 to 1");
    app.add_option("--response-bytes", line.options.response_bytes,
                   "response size to ask for, in bytes");
    app.add_option("--run-for-ms", line.run_for_ms, "duration of the load, in milliseconds");
    app.add_option("--connections", line.options.connections_per_load,
                   "concurrent requests of each organisation");
    app.add_option("--seed", line.options.seed, "random seed");
    app.add_flag("--check", line.check, "validate the command line and exit");
}

std::int64_t percentile(std::vector<std::chrono::microseconds> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(last * share)].count();
}

/// Prints one line; returns whether all responses were valid.
bool print_report(const std::string& organisation, const standin::load_report& report)
{
    std::string refusals;
    for (const auto& [reason, count] : report.refusals) {
        refusals += fmt::format(" refused_{}={}", reason, count);
    }
    fmt::print("organisation={} sent={} answered={} wrong={} connection_failures={} p50_us={} "
               "p99_us={}{}\n",
               organisation, report.sent, report.answered, report.wrong, report.connection_failures,
               percentile(report.latencies, 0.5), percentile(report.latencies, 0.99), refusals);
    return report.wrong == 0;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Generates load for organisations for a bounded time and verifies every response"};
    command_line line;
    add_options(app, line);
    if (const auto code = parse_command_line(app, argc, argv)) {
        return *code;
    }
    for (const std::string& text : line.loads) {
        const auto load = standin::parse_organisation_load(text);
        if (!load) {
            fmt::print(stderr, "--load {}: {}\n", last_failure().peer, last_failure().detail);
            return exit_usage;
        }
        line.options.loads.push_back(*load);
    }
    if (line.check) {
        return 0;
    }
    line.options.run_for = std::chrono::milliseconds{line.run_for_ms};
    bool all_valid = true;
    for (const auto& [organisation, report] : standin::generate_load(line.options)) {
        all_valid = print_report(organisation, report) && all_valid;
    }
    return all_valid ? 0 : 1;
}
