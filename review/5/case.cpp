// A target leaves, its node confirms that and is killed, and a check-in that the target sent before
// arrives late at the restarted node. The rule DRAIN holds if no request reaches the target later
// than `drain` after the confirmation.
#include "review/harness/fleet.hpp"

namespace {

using namespace review;
using std::chrono::milliseconds;

constexpr milliseconds warm_up{8'000};
constexpr milliseconds request_interval{50};
constexpr milliseconds drain{2'000};
constexpr milliseconds contact{3'000};

/// Times after the late check-in was sent.
constexpr milliseconds deregistered_after{200};
constexpr milliseconds killed_after{300};
constexpr milliseconds restarted_after{1'000};
constexpr milliseconds check_in_delay{5'000};
constexpr milliseconds gone_after{9'000};
constexpr milliseconds end_after{12'000};

/// The clients of one machine: one request every 50 ms, each in a thread of its own.
class callers {
public:
    callers(record& sink, std::string outbound) : log(sink), address(std::move(outbound))
    {
        this->sender = std::thread{[this] { this->send_repeatedly(); }};
    }
    callers(const callers&) = delete;
    callers& operator=(const callers&) = delete;
    callers(callers&&) = delete;
    callers& operator=(callers&&) = delete;
    ~callers() { this->stop(); }

    void stop()
    {
        this->is_ending = true;
        if (this->sender.joinable()) {
            this->sender.join();
        }
        for (std::thread& open : this->threads) {
            if (open.joinable()) {
                open.join();
            }
        }
    }

    int served_count() const { return this->served; }
    int failed_count() const { return this->failed; }

private:
    void send_repeatedly()
    {
        int sent = 0;
        while (!this->is_ending) {
            const std::string id = "a" + std::to_string(++sent);
            this->threads.emplace_back([this, id] { this->send(id); });
            pause(request_interval);
        }
    }

    void send(const std::string& id)
    {
        const exchange result =
            send_request(this->address, make_request("POST", "books", id, milliseconds{4'000}),
                         milliseconds{4'500});
        this->served += result.status == 200 ? 1 : 0;
        this->failed += result.status == 200 ? 0 : 1;
        this->log.add("sent id=" + id + " status=" + std::to_string(result.status) +
                      " error=" + result.error);
    }

    record& log;
    std::string address;
    std::atomic<bool> is_ending{false};
    std::atomic<int> served{0};
    std::atomic<int> failed{0};
    std::vector<std::thread> threads;
    std::thread sender;
};

void wait_until(milliseconds time)
{
    if (elapsed() < time) {
        pause(time - elapsed());
    }
}

int run(const std::string& record_path, const std::string& folder)
{
    record log{record_path};
    run_log runs{log};
    fleet machines{{{"vm-1", "books"}, {"vm-2", "books"}}, folder};
    if (!machines.start(make_configuration("r1", {{"books", "books"}}))) {
        return 2;
    }
    const auto options = [&](std::size_t index, const std::string& id) {
        node& beside = machines.at(index);
        return target_options{id, "books",          beside.app_address(), beside.control(),
                              7,  milliseconds{300}};
    };
    target staying{options(0, "i-1"), runs};
    target leaving{options(1, "i-2"), runs};
    staying.start();
    leaving.start();
    callers clients{log, machines.at(0).outbound()};
    wait_until(warm_up);
    leaving.stop_check_ins();
    const std::int64_t late_sequence = leaving.next_sequence();
    log.add("check-in of i-2 with sequence " + std::to_string(late_sequence) + " is sent");
    wait_until(warm_up + deregistered_after);
    const int confirmation = leaving.deregister();
    const milliseconds confirmed_at = elapsed();
    log.add("i-2 deregisters, status=" + std::to_string(confirmation));
    milliseconds started_at{0};
    if (has_trouble()) {
        wait_until(warm_up + killed_after);
        machines.at(1).kill();
        log.add("the node of vm-2 is killed");
        wait_until(warm_up + restarted_after);
        machines.at(1).start(false);
        if (!machines.wait_until_ready()) {
            return 2;
        }
        started_at = elapsed();
        log.add("the node of vm-2 is ready again");
        wait_until(warm_up + check_in_delay);
        const int status = leaving.check_in("ready", late_sequence);
        log.add("the check-in of i-2 arrives, status=" + std::to_string(status));
    }
    wait_until(warm_up + gone_after);
    leaving.end();
    log.add("i-2 ends");
    wait_until(warm_up + end_after);
    clients.stop();
    int late = 0;
    for (const run_record& run : runs.all()) {
        const bool is_in_touch = run.at > started_at + contact;
        late += run.target == "i-2" && run.at > confirmed_at + drain && is_in_touch ? 1 : 0;
    }
    log.add("served=" + std::to_string(clients.served_count()) +
            " not_served=" + std::to_string(clients.failed_count()) +
            " reached_i-2_later_than_drain=" + std::to_string(late));
    if (confirmation != 200 || clients.served_count() == 0) {
        return 2;
    }
    return late > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return argc == 3 ? run_case([&] { return run(argv[1], argv[2]); }) : 2;
}
