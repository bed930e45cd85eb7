#include "target.hpp"

#include "record.hpp"

#include <algorithm>
#include <cstdlib>
#include <thread>

#include <nlohmann/json.hpp>
#include <sys/socket.h>

namespace review {
namespace {

using nlohmann::json;

constexpr milliseconds check_in_interval{1'500};
/// A check-in counts as acknowledged if its answer arrives within a second.
constexpr milliseconds check_in_limit{1'000};
constexpr milliseconds longest_idle_time{15'000};
constexpr milliseconds step{5};
/// Requests that wait at a target beside those that run.
constexpr int queued_requests = 3;

} // namespace

target_server::target_server(options wanted) : settings(std::move(wanted)) {}

bool target_server::listen()
{
    this->listener =
        serve(this->settings.local, [this](connection& caller) { this->handle(caller); });
    return this->listener >= 0;
}

void target_server::start_check_ins()
{
    this->reports = true;
    std::thread{[this] {
        while (this->reports) {
            this->check_in("ready", ++this->sequence);
            std::this_thread::sleep_for(check_in_interval);
        }
    }}.detach();
}

bool target_server::check_in(const std::string& state, std::int64_t number)
{
    const json body{
        {"address", this->settings.local.text()},
        {"born", this->settings.born},
        {"info",
         {{"service", this->settings.service},
          {"version", "v1"},
          {"zone", this->settings.zone},
          {"slots", this->settings.slots}}},
        {"status", {{"state", state}, {"sequence", number}, {"cold_remaining", "0ms"}}}};
    message call;
    call.start_line = "POST /instances/" + this->settings.id + "/heartbeat HTTP/1.1";
    call.headers = {{"Host", this->settings.control.text()}, {"Content-Type", "application/json"}};
    call.body = body.dump();
    const auto answer = exchange(this->settings.control, call, check_in_limit);
    return answer && answer->status() == 200;
}

bool target_server::deregister()
{
    this->reports = false;
    message call;
    call.start_line = "POST /instances/" + this->settings.id + "/deregister HTTP/1.1";
    call.headers = {{"Host", this->settings.control.text()}, {"Content-Type", "application/json"}};
    call.body = json{{"born", this->settings.born}}.dump();
    const auto answer = exchange(this->settings.control, call, check_in_limit);
    return answer && answer->status() == 200;
}

void target_server::end()
{
    this->reports = false;
    this->has_ended = true;
    ::shutdown(this->listener, SHUT_RDWR);
    record(this->settings.id + ": the process ends");
}

std::vector<target_server::run> target_server::runs()
{
    const std::lock_guard lock{this->guard};
    return this->recorded;
}

void target_server::handle(connection& caller)
{
    message request;
    while (!this->has_ended &&
           caller.read(request, after(longest_idle_time)) == read_outcome::complete) {
        const message answer = this->serve_request(request, caller);
        if (answer.start_line.empty() || !caller.send(answer.bytes())) {
            return;
        }
    }
}

message target_server::serve_request(const message& request, connection& caller)
{
    if (request.target() == "/health") {
        return this->respond(200, request, "");
    }
    const std::string attempt = request.header("X-Attempt-Id");
    const std::string expected = request.header("X-Expected-Instance");
    if (!expected.empty() && expected != this->settings.id) {
        record(this->settings.id + ": 421 for " + attempt + ", which expects " + expected);
        return this->respond(421, request, "");
    }
    if (++this->busy > this->settings.slots + queued_requests) {
        --this->busy;
        message rejected = this->respond(503, request, "");
        rejected.headers.emplace_back("X-Not-Executed", "1");
        return rejected;
    }
    std::size_t index = 0;
    {
        const std::lock_guard lock{this->guard};
        index = this->recorded.size();
        this->recorded.push_back({attempt, request.target(), elapsed(), run_end::open});
    }
    record(this->settings.id + ": runs " + attempt);
    const std::string work = query_fields(request.target())["work"];
    const auto until = after(milliseconds{std::atoi(work.c_str())});
    bool is_dropped = false;
    while (!is_dropped && steady::now() < until) {
        std::this_thread::sleep_for(std::min<steady::duration>(step, until - steady::now()));
        is_dropped = this->has_ended || caller.is_closed_by_peer();
    }
    --this->busy;
    const std::lock_guard lock{this->guard};
    this->recorded[index].end = is_dropped ? run_end::dropped : run_end::answered;
    record(this->settings.id + (is_dropped ? ": is cut off from " : ": answers ") + attempt);
    return is_dropped ? message{} : this->respond(200, request, "done " + attempt);
}

message target_server::respond(int status, const message& request, const std::string& body) const
{
    message answer;
    answer.start_line = "HTTP/1.1 " + std::to_string(status) + " Status";
    answer.headers = {{"X-Instance-Id", this->settings.id},
                      {"X-Instance-Load", std::to_string(this->busy.load()) + ",0," +
                                              std::to_string(this->settings.slots)}};
    if (const std::string attempt = request.header("X-Attempt-Id"); !attempt.empty()) {
        answer.headers.emplace_back("X-Attempt-Id", attempt);
    }
    if (status == 200 && request.target() != "/health") {
        answer.headers.emplace_back("X-Response-Signature", "3e1b." + this->settings.id);
    }
    answer.body = body;
    return answer;
}

} // namespace review
