// A request crashes each target that begins to run it, and its caller sends it again. The rule
// BUDGET holds if it reaches targets at most three more times later than `contact` after it has
// crashed the third.
#include "review/harness/fleet.hpp"

namespace {

using namespace review;
using std::chrono::milliseconds;

constexpr milliseconds warm_up{6'000};
constexpr milliseconds duration{60'000};
constexpr milliseconds send_interval{2'000};
constexpr milliseconds other_interval{60};
constexpr milliseconds down_time{3'000};
constexpr milliseconds contact{3'000};
constexpr std::size_t crashes_before = 3;
constexpr std::size_t allowed_retries = 3;

const std::string crashing_path = "/books/import/7";

/// A target that ends when it begins to run the crashing request, and starts again.
class crashing_target {
public:
    crashing_target(target_options initial, record& sink, run_log& runs)
        : options(std::move(initial)), log(sink), all_runs(runs)
    {
        this->start();
        this->keeper = std::thread{[this] { this->restart_after_crashes(); }};
    }
    crashing_target(const crashing_target&) = delete;
    crashing_target& operator=(const crashing_target&) = delete;
    crashing_target(crashing_target&&) = delete;
    crashing_target& operator=(crashing_target&&) = delete;
    ~crashing_target()
    {
        this->is_ending = true;
        this->keeper.join();
    }

private:
    void start()
    {
        target_options next = this->options;
        next.id += '-' + std::to_string(++this->lifetime);
        this->current = std::make_unique<target>(
            next, this->all_runs, [this](target& self, connection& link, const request& received) {
                return this->handle(self, link, received);
            });
        this->current->start();
    }

    std::optional<bool> handle(target& self, connection& link, const request& received)
    {
        if (received.target() != crashing_path) {
            return std::nullopt;
        }
        self.run(received);
        if (!has_trouble()) {
            return link.write(self.answer_to(received));
        }
        this->log.add("crash target=" + self.settings().id);
        this->has_crashed = true;
        return false;
    }

    void restart_after_crashes()
    {
        while (!this->is_ending) {
            if (this->has_crashed.exchange(false)) {
                this->current->end();
                pause(down_time);
                this->start();
            }
            pause(milliseconds{1});
        }
    }

    target_options options;
    record& log;
    run_log& all_runs;
    std::unique_ptr<target> current;
    std::atomic<bool> has_crashed{false};
    std::atomic<bool> is_ending{false};
    std::thread keeper;
    int lifetime = 0;
};

/// Clients of all machines with requests that crash nothing.
class callers {
public:
    callers(record& sink, fleet& entries) : log(sink), machines(entries)
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

    std::size_t served_count() const { return this->served; }
    /// Requests that ended without a promise that they have not run.
    std::size_t lost_count() const { return this->lost; }

private:
    void send_repeatedly()
    {
        std::size_t sent = 0;
        while (!this->is_ending) {
            node& entry = this->machines.at(++sent % this->machines.size());
            this->threads.emplace_back(
                [this, &entry, id = "a" + std::to_string(sent)] { this->send(entry, id); });
            pause(other_interval);
        }
    }

    void send(const node& entry, const std::string& id)
    {
        const exchange result =
            send_request(entry.outbound(), make_request("POST", "books", id, milliseconds{4'000}),
                         milliseconds{4'500});
        this->served += result.status == 200 ? 1 : 0;
        this->lost += result.status == 502 || result.status == 504 ? 1 : 0;
        this->log.add("sent id=" + id + " status=" + std::to_string(result.status) +
                      " error=" + result.error);
    }

    record& log;
    fleet& machines;
    std::atomic<bool> is_ending{false};
    std::atomic<std::size_t> served{0};
    std::atomic<std::size_t> lost{0};
    std::vector<std::thread> threads;
    std::thread sender;
};

int run(const std::string& record_path, const std::string& folder)
{
    record log{record_path};
    run_log runs{log};
    std::vector<node_options> wanted;
    for (int number = 1; number <= 6; ++number) {
        wanted.push_back({"vm-" + std::to_string(number), "books"});
    }
    fleet machines{wanted, folder};
    if (!machines.start(make_configuration("r1", {{"books", "books"}}))) {
        return 2;
    }
    std::vector<std::unique_ptr<crashing_target>> targets;
    for (std::size_t index = 0; index < machines.size(); ++index) {
        node& beside = machines.at(index);
        targets.push_back(std::make_unique<crashing_target>(
            target_options{"i-" + std::to_string(index + 1), "books", beside.app_address(),
                           beside.control(), 7, milliseconds{200}},
            log, runs));
    }
    pause(warm_up);
    int sent = 0;
    callers others{log, machines};
    while (elapsed() < warm_up + duration) {
        ++sent;
        node& entry = machines.at(static_cast<std::size_t>(sent) % machines.size());
        request again =
            make_request("POST", "books", "p" + std::to_string(sent), milliseconds{4'000});
        again.target(crashing_path);
        again.body() = "the request that crashes";
        const exchange crashed =
            send_request(entry.outbound(), std::move(again), milliseconds{4'500});
        log.add("sent id=p" + std::to_string(sent) + " status=" + std::to_string(crashed.status) +
                " error=" + crashed.error);
        pause(send_interval);
    }
    others.stop();
    std::vector<milliseconds> reached;
    for (const run_record& run : runs.all()) {
        if (run.path == crashing_path) {
            reached.push_back(run.at);
        }
    }
    std::size_t late = 0;
    if (reached.size() > crashes_before) {
        const milliseconds third = reached.at(crashes_before - 1);
        for (const milliseconds at : reached) {
            late += at > third + contact ? 1 : 0;
        }
    }
    const std::size_t served = others.served_count();
    log.add("sent=" + std::to_string(sent) + " others_served=" + std::to_string(served) +
            " others_lost=" + std::to_string(others.lost_count()) +
            " reached_targets=" + std::to_string(reached.size()) +
            " reached_later_than_contact_after_third_crash=" + std::to_string(late));
    if (served == 0 || reached.size() < crashes_before) {
        return 2;
    }
    return has_trouble() && late > allowed_retries ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return argc == 3 ? run_case([&] { return run(argv[1], argv[2]); }) : 2;
}
