// Both targets of a service turn away a part of the requests for some seconds, and one of them
// gives a small share of its answers a second time, where the next answer on the connection is due.
// The rule TWICE holds if no request that may not be repeated runs twice.
#include "review/harness/fleet.hpp"

#include <map>
#include <random>
#include <set>

namespace {

using namespace review;
using std::chrono::milliseconds;

constexpr milliseconds warm_up{6'000};
constexpr milliseconds duration{84'000};
constexpr milliseconds request_interval{40};

/// The disruption is on for the first part of each period.
constexpr milliseconds period{7'000};
constexpr milliseconds disrupted_part{5'000};

constexpr double refused_share = 0.55;
constexpr double extra_share = 0.03;

bool is_disrupted()
{
    return has_trouble() && (elapsed() - warm_up) % period < disrupted_part && elapsed() > warm_up;
}

/// Targets that refuse a share of the requests without running them.
class refusing_target {
public:
    refusing_target(record& sink, bool garbles, unsigned seed)
        : log(sink), has_extra(garbles), random(seed)
    {
    }

    std::optional<bool> handle(target& self, connection& link, const request& received)
    {
        bool is_refused = false;
        std::optional<response> extra;
        {
            const std::lock_guard lock{this->mutex};
            const auto found = this->pending.find(&link);
            if (found != this->pending.end()) {
                extra = found->second;
                this->pending.erase(found);
            }
            ++this->answers;
            // A request that comes again is not refused again.
            is_refused = is_disrupted() &&
                         this->seen.insert(std::string{received["X-Attempt-Id"]}).second &&
                         this->chance(this->random) < refused_share;
            this->refusals += is_refused ? 1 : 0;
            if (is_refused && this->has_extra && is_disrupted() &&
                this->extras + 1 <= extra_share * this->answers) {
                ++this->extras;
                this->pending[&link] = self.reject(received, 503);
            }
        }
        const std::string id{received["X-Attempt-Id"]};
        if (extra) {
            this->log.add("extra answer of id=" + std::string{(*extra)["X-Attempt-Id"]} +
                          " where that of id=" + id + " is due");
            link.write(*extra);
        }
        if (!is_refused) {
            return std::nullopt;
        }
        this->log.add("refused id=" + id + " target=" + self.settings().id);
        return link.write(self.reject(received, 503));
    }

    std::string summary() const
    {
        return "answers=" + std::to_string(this->answers) +
               " refusals=" + std::to_string(this->refusals) +
               " extras=" + std::to_string(this->extras);
    }

private:
    record& log;
    bool has_extra;
    std::mutex mutex;
    std::mt19937 random;
    std::uniform_real_distribution<double> chance;
    std::map<connection*, response> pending;
    std::set<std::string> seen;
    int answers = 0;
    int refusals = 0;
    int extras = 0;
};

int run(const std::string& record_path, const std::string& folder)
{
    record log{record_path};
    run_log runs{log};
    refusing_target first_faults{log, true, 1};
    refusing_target second_faults{log, false, 2};
    fleet machines{{{"vm-1", "books"}, {"vm-2", "books"}}, folder};
    if (!machines.start(make_configuration("r1", {{"books", "books"}}))) {
        return 2;
    }
    const auto options = [&](std::size_t index) {
        node& beside = machines.at(index);
        return target_options{"i-" + std::to_string(index + 1),
                              "books",
                              beside.app_address(),
                              beside.control(),
                              7,
                              milliseconds{25}};
    };
    target first{options(0), runs, [&](target& self, connection& link, const request& received) {
                     return first_faults.handle(self, link, received);
                 }};
    target second{options(1), runs, [&](target& self, connection& link, const request& received) {
                      return second_faults.handle(self, link, received);
                  }};
    first.start();
    second.start();
    pause(warm_up);
    int served = 0;
    int sent = 0;
    int twice = 0;
    int false_refusals = 0;
    while (elapsed() < warm_up + duration) {
        const auto next = elapsed() + request_interval;
        const std::string id = "a" + std::to_string(++sent);
        const exchange result = send_request(
            machines.at(static_cast<std::size_t>(sent) % 2).outbound(),
            make_request("POST", "books", id, milliseconds{4'000}), milliseconds{4'500});
        served += result.status == 200 ? 1 : 0;
        const std::size_t count = runs.count(id);
        twice += count > 1 ? 1 : 0;
        false_refusals += count > 0 && (result.status == 429 || result.status == 503) ? 1 : 0;
        log.add("sent id=" + id + " status=" + std::to_string(result.status) +
                " runs=" + std::to_string(count) + " error=" + result.error);
        if (elapsed() < next) {
            pause(next - elapsed());
        }
    }
    log.add("target i-1: " + first_faults.summary() + "; target i-2: " + second_faults.summary());
    log.add("sent=" + std::to_string(sent) + " served=" + std::to_string(served) + " run_twice=" +
            std::to_string(twice) + " refused_though_run=" + std::to_string(false_refusals));
    if (served < sent / 10) {
        return 2;
    }
    return twice > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return argc == 3 ? run_case([&] { return run(argv[1], argv[2]); }) : 2;
}
