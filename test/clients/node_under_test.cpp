#include "test/clients/node_under_test.hpp"

#include "test/clients/crowd.hpp"

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fmt/format.h>

namespace dragonflyroad::test {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr unsigned short upstream_port = 19801;
constexpr auto start_limit = 15s;
constexpr auto caller_patience = 15s;
constexpr auto pause_between_attempts = 100ms;

json make_configuration()
{
    return {{"version", "r1"},
            {"routes",
             {{"books",
               {{"host", "books.example"},
                {"prefix", "/books/"},
                {"service", "books"},
                {"kind", "upload"},
                {"timeout", "5000ms"},
                {"latency_objective", "2500ms"},
                {"max_attempts", 3},
                {"priority", 1}}}}},
            {"services", {{"books", {{"health_check_path", "/health"}, {"max_connections", 360}}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", body_limit_bytes},
              // Long, so that the bounds hold by bytes and not because a timer closes connections.
              {"header_timeout", "30s"},
              {"idle_timeout", "60s"}}}};
}

server_callbacks upstream_callbacks(std::function<http_response(const http_request&)> run)
{
    server_callbacks functions;
    functions.serve = [run = std::move(run)](const http_request& request, time_point,
                                             const response_function& answer) {
        answer(run(request));
        return std::shared_ptr<served_request>{};
    };
    functions.may_pipeline = [](const request_head&) { return false; };
    functions.reject = [](decode_state) { return http_response{400, {}, {}, false}; };
    functions.limits = [] { return caller_limits{}; };
    return functions;
}

} // namespace

node_under_test::node_under_test(std::size_t descriptors)
    : ip(fmt::format("127.78.{}.1", ::getpid() % 250)),
      folder(std::filesystem::temp_directory_path() /
             fmt::format("dragonflyroad-clients-{}", ::getpid())),
      max_descriptors(descriptors),
      store(this->loop),
      upstream(this->loop, upstream_callbacks(
                               [this](const http_request& request) { return this->run(request); }))
{
    std::filesystem::create_directories(this->folder);
    this->store.configure(make_configuration());
    if (!this->store.listen(this->ip + ":19806") ||
        !this->upstream.listen(fmt::format("{}:{}", this->ip, upstream_port))) {
        return;
    }
    this->stand_ins = std::thread{[this] {
        const auto work = boost::asio::make_work_guard(this->loop);
        this->loop.run();
    }};
    this->write_settings();
    this->start();
    const time_point until = boot_clock::now() + start_limit;
    while (this->check_readiness() != 200 && boot_clock::now() < until) {
        std::this_thread::sleep_for(pause_between_attempts);
    }
    this->prepared = this->check_in() == 200 && this->request_as_caller() == 200;
}

node_under_test::~node_under_test()
{
    if (this->process > 0) {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
    }
    this->loop.stop();
    if (this->stand_ins.joinable()) {
        this->stand_ins.join();
    }
    std::filesystem::remove_all(this->folder);
}

void node_under_test::write_settings() const
{
    std::ofstream file{this->folder + "/node.toml"};
    file << fmt::format(
        "node_name = \"vm-1\"\nip = \"{0}\"\nzone = \"z\"\nbootstrap = true\n"
        "bounds = [\"contact=3000ms\",\"grace=6s\",\"strict_revoke=true\",\"revoke=5000ms\"]\n"
        "app_address = \"{0}:19801\"\nservice = \"books\"\n"
        "[listen]\ninbound = \"{0}:19802\"\noutbound = \"{0}:19803\"\nready = \"{0}:19804\"\n"
        "control = \"{0}:19805\"\n[limits]\nmemory_mb = {1}\nmax_fds = {2}\n"
        "[platform]\naddress = \"{0}:19806\"\n",
        this->ip, memory_limit_mb, this->max_descriptors);
}

void node_under_test::start()
{
    std::string name = DRAGONFLYROAD_SIDECAR;
    std::string variable = "DRAGONFLYROAD_CONFIG=" + this->folder + "/node.toml";
    std::array<char*, 2> arguments{name.data(), nullptr};
    std::array<char*, 2> variables{variable.data(), nullptr};
    const std::string log = this->folder + "/node.log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT,
                                     S_IRUSR | S_IWUSR);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // Without this the node would keep the listeners of the stand-ins open after they are closed.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int error = ::posix_spawn(&this->process, name.c_str(), &actions, nullptr,
                                    arguments.data(), variables.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        this->process = 0;
    }
}

http_response node_under_test::run(const http_request& request)
{
    const std::string id{find_header(request.head.headers, "X-Attempt-Id").value_or("")};
    http_response answer;
    answer.status = 200;
    answer.headers = {
        {"X-Attempt-Id", id}, {"X-Response-Signature", "signed"}, {"X-Instance-Id", "i-1"}};
    answer.body = "done";
    return answer;
}

void node_under_test::replace_upstream(const std::optional<endless_answer>& answer)
{
    std::promise<void> replaced;
    boost::asio::post(this->loop, [&] {
        this->faulty_upstream.reset();
        this->upstream.close();
        if (answer) {
            this->faulty_upstream.emplace(this->loop, answer->start, answer->piece, this->ip,
                                          upstream_port);
        }
        else {
            this->upstream.listen(fmt::format("{}:{}", this->ip, upstream_port));
        }
        replaced.set_value();
    });
    replaced.get_future().wait();
}

bool node_under_test::is_alive() const
{
    return this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) == 0;
}

std::size_t node_under_test::peak_memory_mb() const
{
    std::ifstream file{fmt::format("/proc/{}/status", this->process)};
    std::string line;
    while (std::getline(file, line)) {
        constexpr std::string_view name = "VmHWM:";
        if (line.starts_with(name)) {
            return std::stoul(line.substr(name.size())) / 1024;
        }
    }
    throw std::runtime_error{"the process has ended"};
}

std::size_t node_under_test::descriptors() const
{
    const std::filesystem::directory_iterator open{fmt::format("/proc/{}/fd", this->process)};
    return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

int node_under_test::request_as_caller(std::size_t body_bytes)
{
    const time_point until = boot_clock::now() + caller_patience;
    int status = 0;
    do {
        const std::string id = "ordinary-" + std::to_string(++this->requests_sent);
        status = exchange(this->outbound(),
                          fmt::format("POST /books/1 HTTP/1.1\r\nHost: books.example\r\n"
                                      "X-Attempt-Id: {}\r\nX-Deadline-Ms: 4000\r\n"
                                      "Content-Length: {}\r\n\r\n",
                                      id, body_bytes) +
                              std::string(body_bytes, 'b'))
                     .status;
        if (status != 200) {
            std::this_thread::sleep_for(pause_between_attempts);
        }
    } while (status != 200 && boot_clock::now() < until);
    return status;
}

int node_under_test::check_in()
{
    const json body{
        {"address", this->ip + ":19801"},
        {"born", 1'700'000'000'000},
        {"info", {{"service", "books"}, {"version", "v1"}, {"zone", "z"}, {"slots", 8}}},
        {"status",
         {{"state", "ready"}, {"sequence", ++this->check_ins_sent}, {"cold_remaining", "0ms"}}}};
    const std::string text = body.dump();
    return exchange(this->control(), fmt::format("POST /instances/i-1/heartbeat HTTP/1.1\r\n"
                                                 "Host: control\r\nContent-Length: {}\r\n\r\n{}",
                                                 text.size(), text))
        .status;
}

int node_under_test::check_readiness() const
{
    return exchange(this->ready(), "GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n").status;
}

double node_under_test::metric(const std::string& name) const
{
    const std::string text =
        exchange(this->metrics(), "GET /metrics HTTP/1.1\r\nHost: metrics\r\n\r\n").body;
    const std::size_t at = text.find('\n' + name + ' ');
    return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size() + 2));
}

} // namespace dragonflyroad::test
