#include "adapters/command_line.hpp"
#include "core/failure.hpp"
#include "standin/callers.hpp"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include <fmt/format.h>

using namespace dragonflyroad;

namespace {

struct command_line {
    standin::callers_options options;
    std::vector<std::string> loads;
    std::int64_t run_for_ms = 5'000;
    bool check = false;
};

void declare(CLI::App& app, command_line& line)
{
    app.set_version_flag("--version", "0.1.0");
    app.add_option("--node", line.options.nodes, "callers' address of a node; may be repeated")
        ->required();
    app.add_option("--load", line.loads, "organisation:key:rate; may be repeated")->required();
    app.add_option("--path", line.options.path, "path of repeatable requests");
    app.add_option("--unsafe-path", line.options.unsafe_path, "path of unsafe requests");
    app.add_option("--unsafe-share", line.options.unsafe_share, "share of unsafe requests");
    app.add_option("--resend-share", line.options.resend_share, "share of unsafe ones sent twice");
    app.add_option("--response-bytes", line.options.response_bytes, "size of the answers");
    app.add_option("--run-for-ms", line.run_for_ms, "how long to send");
    app.add_option("--connections", line.options.connections_per_group,
                   "connections of each organisation");
    app.add_option("--seed", line.options.seed, "seed of random choices");
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

bool print(const std::string& organisation, const standin::caller_report& report)
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
    CLI::App app{"Sends the load of organisations for a bounded time and checks every answer"};
    command_line line;
    declare(app, line);
    if (const auto code = parse_command_line(app, argc, argv)) {
        return *code;
    }
    for (const std::string& text : line.loads) {
        const auto group = standin::parse_group(text);
        if (!group) {
            fmt::print(stderr, "--load {}: {}\n", last_failure().peer, last_failure().detail);
            return exit_usage;
        }
        line.options.groups.push_back(*group);
    }
    if (line.check) {
        return 0;
    }
    line.options.run_for = std::chrono::milliseconds{line.run_for_ms};
    bool all_right = true;
    for (const auto& [organisation, report] : standin::run_callers(line.options)) {
        all_right = print(organisation, report) && all_right;
    }
    return all_right ? 0 : 1;
}
