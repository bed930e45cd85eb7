#include "review/harness/target.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
namespace http = boost::beast::http;

constexpr milliseconds check_in_interval{1'500};
constexpr milliseconds check_in_timeout{1'000};

std::int64_t unix_milliseconds()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string text(boost::beast::string_view view)
{
    return {view.begin(), view.end()};
}

} // namespace

void run_log::add(run_record run)
{
    run.at = elapsed();
    this->written.add("run id=" + run.id + " target=" + run.target + " service=" + run.service +
                      " path=" + run.path + " caller=" + run.caller);
    const std::lock_guard lock{this->mutex};
    this->runs.push_back(std::move(run));
}

std::vector<run_record> run_log::all()
{
    const std::lock_guard lock{this->mutex};
    return this->runs;
}

std::size_t run_log::count(const std::string& id)
{
    const std::lock_guard lock{this->mutex};
    return static_cast<std::size_t>(std::ranges::count(this->runs, id, &run_record::id));
}

target::target(target_options initial, run_log& log, hook function)
    : options(std::move(initial)),
      runs(log),
      special(std::move(function)),
      server([this](connection& link, const request& received) {
          return this->handle(link, received);
      })
{
}

void target::start()
{
    this->born = unix_milliseconds();
    this->server.start(this->options.address);
    this->check_ins = std::thread{[this] { this->check_in_repeatedly(); }};
}

void target::end()
{
    this->is_ending = true;
    this->changed.notify_all();
    if (this->check_ins.joinable()) {
        this->check_ins.join();
    }
    this->server.stop();
}

int target::check_in(const std::string& state, std::int64_t number)
{
    const json body{
        {"address", this->options.address},
        {"born", this->born},
        {"info",
         {{"service", this->options.service},
          {"version", "v1"},
          {"zone", "z"},
          {"slots", this->options.slots}}},
        {"status", {{"state", state}, {"sequence", number}, {"cold_remaining", "0ms"}}}};
    request call{http::verb::post, "/instances/" + this->options.id + "/heartbeat", 11};
    call.set(http::field::host, this->options.control);
    call.set(http::field::content_type, "application/json");
    call.body() = body.dump();
    return send_request(this->options.control, std::move(call), check_in_timeout).status;
}

int target::deregister()
{
    request call{http::verb::post, "/instances/" + this->options.id + "/deregister", 11};
    call.set(http::field::host, this->options.control);
    return send_request(this->options.control, std::move(call), check_in_timeout).status;
}

void target::check_in_repeatedly()
{
    std::unique_lock lock{this->mutex};
    while (!this->is_ending) {
        if (this->has_check_ins && !this->is_silent) {
            lock.unlock();
            this->check_in("ready", this->next_sequence());
            lock.lock();
        }
        this->changed.wait_for(lock, check_in_interval, [this] { return this->is_ending.load(); });
    }
}

bool target::handle(connection& link, const request& received)
{
    if (this->is_silent) {
        return this->stay_silent();
    }
    if (received.target() == "/health") {
        response healthy{http::status::ok, 11};
        healthy.set("X-Instance-Id", this->options.id);
        healthy.prepare_payload();
        return link.write(healthy);
    }
    if (text(received["X-Expected-Instance"]) != this->options.id) {
        return link.write(this->reject(received, 421));
    }
    if (this->special) {
        if (const auto handled = this->special(*this, link, received)) {
            return *handled;
        }
    }
    const response answer = this->run(received);
    if (this->is_ending) {
        return false;
    }
    return this->is_silent ? this->stay_silent() : link.write(answer);
}

bool target::stay_silent()
{
    std::unique_lock lock{this->mutex};
    this->changed.wait(lock, [this] { return this->is_ending.load(); });
    return false;
}

response target::run(const request& received)
{
    std::unique_lock lock{this->mutex};
    this->changed.wait(lock,
                       [this] { return this->is_ending || this->busy < this->options.slots; });
    ++this->busy;
    this->runs.add({text(received["X-Attempt-Id"]), this->options.id, this->options.service,
                    text(received.target()), text(received["X-Caller-Service"])});
    this->changed.wait_for(lock, this->options.work, [this] { return this->is_ending.load(); });
    --this->busy;
    this->changed.notify_all();
    return this->answer_to(received);
}

response target::reject(const request& received, int status) const
{
    response answer{http::int_to_status(static_cast<unsigned>(status)), 11};
    answer.set("X-Attempt-Id", received["X-Attempt-Id"]);
    answer.set("X-Not-Executed", "1");
    answer.prepare_payload();
    return answer;
}

response target::answer_to(const request& received) const
{
    response answer{http::status::ok, 11};
    answer.set("X-Attempt-Id", received["X-Attempt-Id"]);
    answer.set("X-Response-Signature", "sig-" + text(received["X-Attempt-Id"]));
    answer.body() = "answer of " + this->options.id + " to " + text(received["X-Attempt-Id"]);
    answer.prepare_payload();
    return answer;
}

} // namespace review
