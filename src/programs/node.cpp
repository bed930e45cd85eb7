#include "node/node.hpp"
#include "adapters/command_line.hpp"
#include "adapters/http_store.hpp"
#include "adapters/log.hpp"
#include "adapters/settings.hpp"
#include "adapters/stop_signal.hpp"
#include "core/failure.hpp"

#include <cstdio>
#include <memory>
#include <string>

#include <fmt/format.h>

namespace {

using namespace dragonflyroad;

int run(const node_settings& settings)
{
    const auto address = parse_address(settings.store_address);
    node_builder builder{settings};
    builder.with_store(std::make_shared<http_store>(*address));
    const auto running = builder.start();
    if (running == nullptr) {
        fmt::print(stderr, "dragonflyroad-node: {} {}: {}\n", last_failure().step,
                   last_failure().peer, last_failure().detail);
        return exit_failed;
    }
    const int received = wait_for_stop_signal();
    log_line{"stop_signal"}.add("signal", received);
    running->stop();
    return exit_done;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{
        "A node of the dragonflyroad proxy fleet: takes requests from callers and forwards "
        "them to upstreams."};
    std::string path;
    bool check_only = false;
    app.add_option("--settings", path, "TOML file with the settings of this node")->required();
    app.add_flag("--check", check_only, "Check the settings and exit");
    app.set_version_flag("--version", DRAGONFLYROAD_VERSION);
    if (const auto code = parse_command_line(app, argc, argv)) {
        return *code;
    }
    const auto settings = load_node_settings(path);
    if (!settings) {
        fmt::print(stderr, "dragonflyroad-node: {}: {}\n", last_failure().peer,
                   last_failure().detail);
        return exit_usage;
    }
    if (check_only) {
        fmt::print("{}: ok\n", path);
        return exit_done;
    }
    block_stop_signals();
    return run(*settings);
}
