#include "adapters/command_line.hpp"
#include "adapters/log.hpp"
#include "adapters/stop_signal.hpp"
#include "core/failure.hpp"
#include "standin/store_server.hpp"

#include <string>

#include <fmt/core.h>

using namespace dragonflyroad;

int main(int argc, char** argv)
{
    CLI::App app{"Stand-in for the platform's key-value store, with fault injection"};
    std::string address = "127.0.0.1:0";
    bool check = false;
    app.set_version_flag("--version", "0.1.0");
    app.add_option("--address", address, "ip:port to listen on; port 0 selects a free port");
    app.add_flag("--check", check, "validate the command line and exit");
    if (const auto code = parse_command_line(app, argc, argv)) {
        return *code;
    }
    if (!parse_address(address)) {
        fmt::print(stderr, "--address: found {}; expected ip:port with a numeric IP address\n",
                   address);
        return exit_usage;
    }
    if (check) {
        return exit_done;
    }
    block_stop_signals();
    standin::store_server server;
    if (!server.start(address)) {
        log_line{"start_failed"}
            .add("peer", last_failure().peer)
            .add("detail", last_failure().detail);
        return exit_failed;
    }
    log_line{"store_started"}.add("address", server.address().to_text());
    wait_for_stop_signal();
    server.stop();
    log_line{"store_stopped"}.add("address", server.address().to_text());
    return exit_done;
}
