#include "target.hpp"

#include <algorithm>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

namespace review2 {
namespace {

constexpr milliseconds heartbeat{1'500};

std::int64_t unix_time()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

target::target(record& log, std::string service_name, std::string instance, plan_function function)
    : journal(log),
      name(std::move(service_name)),
      id(std::move(instance)),
      plan(std::move(function))
{
}

void target::start(const endpoint& place, const endpoint& control, const std::string& zone,
                   std::uint32_t slot_count)
{
    this->address = place;
    this->node = control;
    this->zone_name = zone;
    this->slots = slot_count;
    this->born = unix_time();
    this->listening_ended = serve(place, [this](connection& peer) { this->handle(peer); });
    std::thread{[this] {
        while (true) {
            if (!this->is_silent) {
                this->check_in();
            }
            std::this_thread::sleep_for(heartbeat);
        }
    }}.detach();
}

bool target::check_in()
{
    const nlohmann::json body{
        {"address", this->address.text()},
        {"born", this->born.load()},
        {"info",
         {{"service", this->name},
          {"version", "v1"},
          {"zone", this->zone_name},
          {"slots", this->slots}}},
        {"status",
         {{"state", this->state_name}, {"sequence", ++this->sequence}, {"cold_remaining", "0ms"}}}};
    const auto reply =
        exchange(this->node,
                 encode_request("POST", "/instances/" + this->id + "/heartbeat",
                                {{"Host", this->node.text()}, {"Content-Type", "application/json"}},
                                body.dump()),
                 milliseconds{1'000});
    return reply && reply->status() == 200;
}

void target::go_down()
{
    this->journal.add("target", this->id + " goes down");
    this->is_silent = true;
    ++this->starts;
    *this->listening_ended = true;
}

void target::come_up(milliseconds clock_offset)
{
    this->born = unix_time() + clock_offset.count();
    this->sequence = 0;
    this->journal.add("target", this->id + " starts again, born " + std::to_string(this->born));
    this->listening_ended = serve(this->address, [this](connection& peer) { this->handle(peer); });
    this->is_silent = false;
    this->check_in();
}

bool target::deregister()
{
    const nlohmann::json body{{"born", this->born.load()}};
    const auto reply =
        exchange(this->node,
                 encode_request("POST", "/instances/" + this->id + "/deregister",
                                {{"Host", this->node.text()}, {"Content-Type", "application/json"}},
                                body.dump()),
                 milliseconds{1'000});
    return reply && reply->status() == 200;
}

std::vector<target_run> target::runs()
{
    const std::scoped_lock lock{this->mutex};
    return this->started;
}

std::size_t target::count_runs(const std::string& request_id)
{
    const auto known = this->runs();
    return static_cast<std::size_t>(std::ranges::count(known, request_id, &target_run::id));
}

void target::handle(connection& peer)
{
    const int start = this->starts;
    while (const auto request = peer.receive(steady::now() + std::chrono::seconds{30})) {
        if (start != this->starts || !this->answer(peer, *request)) {
            return;
        }
    }
}

bool target::answer(connection& peer, const message& request)
{
    const std::string attempt = request.header("X-Attempt-Id");
    const std::string expected = request.header("X-Expected-Instance");
    if (request.target() == "/health") {
        return peer.send(encode_response(200, {{"X-Instance-Id", this->id}}, ""));
    }
    if (!expected.empty() && expected != this->id) {
        return peer.send(
            encode_response(421, {{"X-Instance-Id", this->id}, {"X-Attempt-Id", attempt}}, ""));
    }
    const run_plan planned = this->plan(request);
    if (!planned.is_rejected) {
        const std::scoped_lock lock{this->mutex};
        this->started.push_back({attempt, request.target(), steady::now()});
    }
    const std::string what = attempt + " at " + this->id;
    this->journal.add("target", (planned.is_rejected ? "queues " : "runs ") + what);
    const auto allowed = std::atoll(request.header("X-Deadline-Ms").c_str());
    const bool is_late = allowed > 0 && milliseconds{allowed} < planned.work;
    const milliseconds work = is_late ? milliseconds{allowed} : planned.work;
    if (planned.outlasts_connection) {
        std::this_thread::sleep_for(work);
    }
    else if (peer.closes_within(work)) {
        this->journal.add("target", "drops " + what);
        return false;
    }
    if (planned.is_rejected) {
        this->journal.add("target", "has not run " + what + ", answers 503");
        return peer.send(
            encode_response(503, {{"X-Not-Executed", "1"}, {"X-Attempt-Id", attempt}}, ""));
    }
    const int given = is_late ? 504 : planned.status;
    this->journal.add("target", "answers " + what + " with " + std::to_string(given));
    return peer.send(encode_response(
        given, {{"X-Attempt-Id", attempt}, {"X-Response-Signature", "sig." + attempt}},
        "answer to " + attempt));
}

} // namespace review2
