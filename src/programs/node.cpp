#include "node/node.hpp"
#include "adapters/http_store.hpp"
#include "adapters/log.hpp"
#include "adapters/settings.hpp"
#include "core/failure.hpp"

#include <csignal>
#include <cstdio>
#include <memory>
#include <string>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

namespace {

using namespace dragonflyroad;

constexpr int exit_failed = 1;
constexpr int exit_invalid = 2;

/// Blocks the stop signals in this thread and in all threads that it starts, so that only
/// wait_for_stop() receives them.
sigset_t block_stop_signals()
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run(const node_settings& settings, const sigset_t& signals)
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
    int received = 0;
    sigwait(&signals, &received);
    log_line{"stop_signal"}.add("signal", received);
    running->stop();
    return 0;
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
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : exit_invalid;
    }
    const auto settings = load_node_settings(path);
    if (!settings) {
        fmt::print(stderr, "dragonflyroad-node: {}: {}\n", last_failure().peer,
                   last_failure().detail);
        return exit_invalid;
    }
    if (check_only) {
        fmt::print("{}: ok\n", path);
        return 0;
    }
    const sigset_t signals = block_stop_signals();
    return run(*settings, signals);
}
