#include "review/harness/fleet.hpp"

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
namespace http = boost::beast::http;

constexpr const char* program = "target/dragonflyroad-sidecar";
constexpr milliseconds start_limit{15'000};

/// Addresses of this run: those of two cases at the same time differ.
std::string machine_ip(std::size_t number)
{
    const int block = static_cast<int>(::getpid()) % 250;
    return "127.77." + std::to_string(block) + '.' + std::to_string(number + 1);
}

std::string quoted(const std::string& text)
{
    return '"' + text + '"';
}

} // namespace

void pause(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

node::node(node_options initial, std::string own_ip, std::string store_at, std::string folder)
    : options(std::move(initial)),
      ip(std::move(own_ip)),
      store(std::move(store_at)),
      path(folder + '/' + this->options.name + ".toml"),
      log_path(folder + '/' + this->options.name + ".log"),
      process_list(std::move(folder) + "/processes")
{
}

void node::write_settings(const std::string& service, bool is_first) const
{
    const std::string next = this->path + ".next";
    std::ofstream file{next};
    file << "node_name = " << quoted(this->options.name) << "\nrole = \"node\"\n"
         << "machine_class = \"sidecar\"\nserves = [\"sidecar\"]\nip = " << quoted(this->ip)
         << "\nzone = \"z\"\nregion = \"r\"\ninternal_port_range = [7000,7015]\nseeds = []\n"
         << "bootstrap = " << (is_first ? "true" : "false")
         << "\nloss_counts = false\ndiscovery = \"local\"\nentry = \"local\"\n"
         << "heartbeat = \"1500ms\"\n"
         << R"(bounds = ["seed_lag=3s","reuse_after=2s","contact=3000ms","ack=4000ms",)"
         << R"("catch_up=4s","drain=2000ms","grace=6s","loss_slack=200ms",)"
         << R"("config_apply=2000ms","rollback_slack=250ms","max_stretch=5000ms",)"
         << R"("strict_revoke=true","revoke=5000ms","retry_budget_ratio=0.2",)"
         << R"("budget_window=10s","retry_budget_slack=60","quota_window=5s",)"
         << R"("quota_overage=0.1","quota_slack=20","recovery=15s","probes_per_s=3",)"
         << R"("floor_share=0.7"])"
         << "\napp_address = " << quoted(this->app_address()) << "\nservice = " << quoted(service)
         << "\n[zones]\nz = \"r\"\n[listen]\ninbound = " << quoted(this->ip + ":19802")
         << "\noutbound = " << quoted(this->outbound()) << "\nready = " << quoted(this->ready())
         << "\ncontrol = " << quoted(this->control())
         << "\n[limits]\ncpu_share = 0.2\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n"
         << "[platform]\naddress = " << quoted(this->store)
         << "\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory = \"20s\"\n"
         << "value_bytes = 1048576\nttl_min = \"1000ms\"\n";
    file.close();
    std::filesystem::rename(next, this->path);
}

void node::start(bool is_first)
{
    this->write_settings(this->options.service, is_first);
    std::string name = program;
    std::string variable = "DRAGONFLYROAD_CONFIG=" + this->path;
    std::array<char*, 2> arguments{name.data(), nullptr};
    std::array<char*, 2> variables{variable.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, this->log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = ::posix_spawn(&this->process, program, &actions, nullptr, arguments.data(),
                                    variables.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        this->process = 0;
        throw std::runtime_error{"cannot start " + name};
    }
    std::ofstream{this->process_list, std::ios::app} << this->process << '\n';
}

void node::kill()
{
    if (this->process > 0) {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
        this->process = 0;
    }
}

void node::signal(int number) const
{
    if (this->process > 0) {
        ::kill(this->process, number);
    }
}

bool node::is_ready() const
{
    request call{http::verb::get, "/readiness", 11};
    call.set(http::field::host, this->ready());
    return send_request(this->ready(), std::move(call), milliseconds{500}).status == 200;
}

std::size_t node::peak_memory_mb() const
{
    std::ifstream file{"/proc/" + std::to_string(this->process) + "/status"};
    std::string line;
    while (std::getline(file, line)) {
        const std::string name = "VmHWM:";
        if (line.starts_with(name)) {
            return std::stoul(line.substr(name.size())) / 1024;
        }
    }
    return 0;
}

fleet::fleet(const std::vector<node_options>& wanted, const std::string& folder)
    : store_address(machine_ip(wanted.size()) + ":19806"), process_list(folder + "/processes")
{
    for (const node_options& options : wanted) {
        this->nodes.push_back(std::make_unique<node>(options, machine_ip(this->nodes.size()),
                                                     this->store_address, folder));
    }
}

fleet::~fleet()
{
    for (const auto& member : this->nodes) {
        member->kill();
    }
    std::filesystem::remove(this->process_list);
    this->kept.stop();
}

bool fleet::start(const json& configuration)
{
    this->kept.start(this->store_address);
    this->kept.configure(configuration);
    for (const auto& member : this->nodes) {
        member->start(true);
    }
    return this->wait_until_ready();
}

bool fleet::wait_until_ready()
{
    const auto until = elapsed() + start_limit;
    for (const auto& member : this->nodes) {
        while (!member->is_ready()) {
            if (elapsed() > until) {
                return false;
            }
            pause(milliseconds{50});
        }
    }
    return true;
}

json make_configuration(const std::string& version, const std::vector<route_options>& routes,
                        std::size_t max_body_bytes)
{
    json table = json::object();
    json services = json::object();
    for (const route_options& route : routes) {
        table[route.name] = {
            {"host", route.name + ".example"},    {"prefix", '/' + route.name + '/'},
            {"service", route.service},           {"kind", route.kind},
            {"timeout", route.timeout},           {"latency_objective", "2500ms"},
            {"max_attempts", route.max_attempts}, {"priority", 1}};
        services[route.service] = {{"health_check_path", "/health"}, {"max_connections", 360}};
    }
    return {{"version", version},
            {"routes", std::move(table)},
            {"services", std::move(services)},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", max_body_bytes},
              {"header_timeout", "5s"},
              {"idle_timeout", "30s"}}}};
}

request make_request(const std::string& method, const std::string& route, const std::string& id,
                     milliseconds deadline)
{
    request outgoing{http::string_to_verb(method), '/' + route + '/' + id, 11};
    outgoing.set(http::field::host, route + ".example");
    outgoing.set("X-Attempt-Id", id);
    outgoing.set("X-Deadline-Ms", std::to_string(deadline.count()));
    if (method == "POST") {
        outgoing.body() = "body of " + id;
    }
    return outgoing;
}

int run_case(const std::function<int()>& body)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return body();
    }
    catch (const std::exception& error) {
        std::cerr << "the case could not run: " << error.what() << std::endl;
        return 2;
    }
}

} // namespace review
