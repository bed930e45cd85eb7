#include "fleet.hpp"

#include "record.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

using nlohmann::json;

constexpr const char* program = "target/dragonflyroad-sidecar";
constexpr milliseconds step{20};
constexpr milliseconds start_limit{15'000};
constexpr int metrics_port = 9464;
constexpr int store_port = 19806;

/// The bounds that a small deployment states.
constexpr const char* bounds =
    R"(["seed_lag=3s","reuse_after=2s","contact=3000ms","ack=4000ms","catch_up=4s","drain=2000ms",)"
    R"("grace=6s","loss_slack=200ms","config_apply=2000ms","rollback_slack=250ms",)"
    R"("max_stretch=5000ms","strict_revoke=true","revoke=5000ms","retry_budget_ratio=0.2",)"
    R"("budget_window=10s","retry_budget_slack=60","quota_window=5s","quota_overage=0.1",)"
    R"("quota_slack=20","recovery=15s","probes_per_s=3","floor_share=0.7"])";

/// The longest time that a script may take.
constexpr unsigned longest_case_seconds = 120;

/// The processes that run now; the handler of signals ends them with the case.
std::array<std::atomic<pid_t>, 16> running{};

void replace_running(pid_t before, pid_t next)
{
    for (auto& id : running) {
        pid_t expected = before;
        if (id.compare_exchange_strong(expected, next)) {
            return;
        }
    }
}

extern "C" void end_case(int /*signal*/)
{
    for (const auto& id : running) {
        if (id > 0) {
            ::kill(id, SIGKILL);
        }
    }
    ::_exit(could_not_run);
}

bool wait_for(milliseconds limit, const std::function<bool()>& condition)
{
    const auto until = after(limit);
    while (!condition()) {
        if (steady::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(step);
    }
    return true;
}

std::string toml_text(const std::string& text)
{
    return '"' + text + "\"\n";
}

} // namespace

node_process::node_process(options wanted) : settings(std::move(wanted)) {}

bool node_process::start()
{
    const std::string path = this->settings.folder + '/' + this->settings.name + ".toml";
    std::ofstream file{path, std::ios::trunc};
    file << "node_name = " << toml_text(this->settings.name)
         << "zone = " << toml_text(this->settings.zone)
         << "service = " << toml_text(this->settings.service)
         << "ip = " << toml_text(this->settings.ip)
         << "app_address = " << toml_text(this->app().text()) << "bootstrap = "
         << (this->settings.is_first_start && this->starts == 0 ? "true" : "false")
         << "\nbounds = " << bounds
         << "\n[listen]\ninbound = " << toml_text(this->settings.ip + ":19802")
         << "outbound = " << toml_text(this->outbound().text())
         << "ready = " << toml_text(this->settings.ip + ":19804")
         << "control = " << toml_text(this->control().text())
         << "[limits]\nmemory_mb = " << this->settings.memory_mb << "\nmax_fds = 4100\n"
         << "[platform]\naddress = " << toml_text(this->settings.store.text());
    file.close();
    ++this->starts;
    const std::string log = this->settings.folder + '/' + this->settings.name + '-' +
                            std::to_string(this->starts) + ".log";
    const std::string variable = "DRAGONFLYROAD_CONFIG=" + path;
    this->process = ::fork();
    if (this->process == 0) {
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        char* const arguments[] = {const_cast<char*>(program), nullptr};
        char* const environment[] = {const_cast<char*>(variable.c_str()), nullptr};
        ::execve(program, arguments, environment);
        ::_exit(127);
    }
    replace_running(0, this->process);
    record(this->settings.name + ": start " + std::to_string(this->starts));
    return this->process > 0;
}

void node_process::signal(int number)
{
    if (this->process > 0) {
        ::kill(this->process, number);
        record(this->settings.name + ": signal " + std::to_string(number));
    }
}

bool node_process::is_running()
{
    if (this->process > 0) {
        int status = 0;
        if (::waitpid(this->process, &status, WNOHANG) == this->process) {
            record(this->settings.name + ": ended with status " + std::to_string(status));
            replace_running(std::exchange(this->process, -1), 0);
        }
    }
    return this->process > 0;
}

bool node_process::wait_for_end(milliseconds limit)
{
    return wait_for(limit, [this] { return !this->is_running(); });
}

bool node_process::is_ready() const
{
    message question;
    question.start_line = "GET /readiness HTTP/1.1";
    question.headers = {{"Host", this->settings.ip}};
    const auto answer = exchange({this->settings.ip, 19804}, question, milliseconds{500});
    return answer && answer->status() == 200;
}

bool fleet::choose_addresses(std::size_t count)
{
    std::random_device random;
    for (int attempt = 0; attempt < 50; ++attempt) {
        const std::string net = "127." + std::to_string(64 + random() % 128) + '.' +
                                std::to_string(random() % 256) + '.';
        this->ips.clear();
        for (std::size_t index = 0; index < count; ++index) {
            const std::string ip = net + std::to_string(10 + index);
            bool is_usable = is_free({ip, metrics_port});
            for (int port = 19801; port <= store_port; ++port) {
                is_usable = is_usable && is_free({ip, port});
            }
            if (is_usable) {
                this->ips.push_back(ip);
            }
        }
        if (this->ips.size() == count) {
            return true;
        }
    }
    return false;
}

bool fleet::start(const std::vector<machine>& wanted, const json& configuration)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr || !this->choose_addresses(wanted.size())) {
        return false;
    }
    this->folder = pattern;
    this->store.put("op/config", configuration.dump());
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto born = std::chrono::duration_cast<milliseconds>(now).count();
    for (std::size_t index = 0; index < wanted.size(); ++index) {
        const machine& given = wanted[index];
        const address door{this->ips[index], store_port};
        if (!this->store.add_door(given.name, door)) {
            return false;
        }
        this->nodes.push_back(std::make_unique<node_process>(
            node_process::options{given.name, given.zone, given.service, this->ips[index], door,
                                  this->folder, false, given.memory_mb}));
        const node_process& node = *this->nodes.back();
        this->targets.push_back(std::make_unique<target_server>(target_server::options{
            "i-" + given.name, given.service, given.zone, node.app(), node.control(), 7, born}));
        if (!this->targets.back()->listen() || !this->nodes.back()->start()) {
            return false;
        }
    }
    const bool are_ready = wait_for(start_limit, [this] {
        return std::all_of(this->nodes.begin(), this->nodes.end(),
                           [](const auto& node) { return node->is_ready(); });
    });
    for (const auto& target : this->targets) {
        target->start_check_ins();
    }
    // The nodes know each other and the targets, and the quota groups have holders.
    std::this_thread::sleep_for(std::chrono::seconds{5});
    return are_ready;
}

void fleet::end()
{
    for (const auto& node : this->nodes) {
        node->signal(SIGKILL);
        node->wait_for_end(milliseconds{2'000});
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }
    else {
        std::cout << "logs: " << this->folder << '\n';
    }
}

json empty_configuration(int version)
{
    return {{"version", "r" + std::to_string(version)},
            {"routes", json::object()},
            {"services", json::object()},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 67108864},
              {"header_timeout", "3000ms"},
              {"idle_timeout", "15000ms"}}}};
}

json route(const std::string& service, const std::string& kind)
{
    return {{"host", service + ".example"},
            {"prefix", "/" + kind + "/"},
            {"kind", kind},
            {"timeout", "5000ms"},
            {"latency_objective", "2500ms"},
            {"priority", 1},
            {"service", service},
            {"max_attempts", 2},
            {"public", false}};
}

int run_case(const std::string& record_path, int (*play)(fleet&))
{
    if (::access(program, X_OK) != 0) {
        std::cerr << program << " is missing: build the deploy file first\n";
        return could_not_run;
    }
    for (const int number : {SIGTERM, SIGINT, SIGALRM}) {
        std::signal(number, end_case);
    }
    ::alarm(longest_case_seconds);
    open_record(record_path);
    fleet all;
    const int verdict = play(all);
    all.end();
    const char* const text = verdict == held     ? "held"
                             : verdict == broken ? "broken"
                                                 : "could not run";
    record(std::string{"verdict: "} + text);
    std::cout << text << std::endl;
    // Threads of the stand-ins are still running.
    std::_Exit(verdict);
}

} // namespace review
