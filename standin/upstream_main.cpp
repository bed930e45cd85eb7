#include "adapters/command_line.hpp"
#include "adapters/log.hpp"
#include "adapters/stop_signal.hpp"
#include "core/failure.hpp"
#include "standin/upstream.hpp"

#include <cstdint>
#include <cstdio>
#include <string>

#include <fmt/core.h>

using namespace dragonflyroad;

namespace {

struct command_line {
    standin::upstream_options options;
    std::string fault = R"({"mode":"none"})";
    std::int64_t service_time_ms = 5;
    std::int64_t cold_start_ms = 0;
    bool check = false;
};

void add_options(CLI::App& app, command_line& line)
{
    app.set_version_flag("--version", "0.1.0");
    app.add_option("--service", line.options.service, "name of the service");
    app.add_option("--address", line.options.address,
                   "ip:port to listen on; port 0 selects a free port");
    app.add_option("--node-admin", line.options.node_admin,
                   "admin address of the node on the same VM");
    app.add_option("--slots", line.options.slots, "concurrent requests");
    app.add_option("--queue", line.options.queue_limit, "requests that may wait for a slot");
    app.add_option("--service-time-ms", line.service_time_ms,
                   "service time of a request, in milliseconds");
    app.add_option("--cold-start-ms", line.cold_start_ms,
                   "length of the cold start, in milliseconds");
    app.add_option("--fault", line.fault, "initial fault as JSON, see POST /_standin/fault");
    app.add_option("--seed", line.options.seed, "random seed");
    app.add_flag("--check", line.check, "validate the command line and exit");
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Stand-in upstream with fault injection at run time"};
    command_line line;
    add_options(app, line);
    if (const auto code = parse_command_line(app, argc, argv)) {
        return *code;
    }
    const auto fault = standin::parse_fault(line.fault);
    if (!fault) {
        fmt::print(stderr, "--fault: {}\n", last_failure().detail);
        return exit_usage;
    }
    if (line.check) {
        return 0;
    }
    line.options.service_time = std::chrono::milliseconds{line.service_time_ms};
    line.options.cold_start = std::chrono::milliseconds{line.cold_start_ms};
    block_stop_signals();
    standin::upstream server{line.options};
    server.set_fault(*fault);
    if (!server.start()) {
        log_line{"start_failed"}
            .add("peer", last_failure().peer)
            .add("detail", last_failure().detail);
        return 1;
    }
    log_line{"upstream_started"}
        .add("service", line.options.service)
        .add("address", server.address());
    wait_for_stop_signal();
    server.stop();
    log_line{"upstream_stopped"}.add("address", server.address()).add("runs", server.runs().size());
    return 0;
}
