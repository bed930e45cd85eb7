#include "../harness-3/fleet.hpp"
#include "../harness-3/record.hpp"

#include <atomic>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

using namespace review;

namespace {

/// The bound `drain` of the settings.
constexpr milliseconds drain{2'000};

/// When things happen, from the moment at which the copy is made.
constexpr milliseconds leaves_at{1'000};
constexpr milliseconds killed_at{1'800};
constexpr milliseconds drill_at{2'000};
constexpr milliseconds store_away{500};
constexpr milliseconds started_at{2'400};
constexpr milliseconds rewritten_at{2'600};
constexpr milliseconds late_check_in_at{3'700};
/// `contact` has passed since the store and the process are back.
constexpr milliseconds in_touch_at{6'500};
constexpr milliseconds target_ends_at{10'000};
constexpr milliseconds requests_end_at{10'500};

constexpr milliseconds request_interval{100};

message post(int number)
{
    message request;
    request.start_line = "POST /unsafe/submit?work=400 HTTP/1.1";
    request.headers = {{"Host", "marks.example"},
                       {"X-Attempt-Id", "request-" + std::to_string(number)},
                       {"X-Deadline-Ms", "4000"}};
    request.body = "mark " + std::to_string(number);
    return request;
}

/// Sends a request every 0.1 s until the leaving target ends and a little longer. Returns how many
/// got no success.
int send_requests(const address& node, milliseconds until, std::atomic<int>& sent)
{
    std::atomic<int> failed{0};
    std::vector<std::thread> clients;
    while (elapsed() < until) {
        clients.emplace_back([&, number = ++sent] {
            const auto answer = exchange(node, post(number), milliseconds{4'000});
            const int status = answer ? answer->status() : 0;
            if (status != 200) {
                ++failed;
                record("client: request-" + std::to_string(number) + " gets " +
                       std::to_string(status));
            }
        });
        std::this_thread::sleep_for(request_interval);
    }
    for (std::thread& client : clients) {
        client.join();
    }
    return failed;
}

int play(fleet& all)
{
    auto configuration = empty_configuration(7);
    all.store.state_era();
    configuration["routes"]["r-1"] = route("marks", "unsafe");
    if (!all.start({{"n1", "a", "front"}, {"n2", "a", "marks"}, {"n3", "a", "marks"}},
                   configuration)) {
        return could_not_run;
    }
    node_process& node = *all.nodes[1];
    target_server& leaving = *all.targets[1];
    const milliseconds begin = elapsed();
    all.store.copy();
    wait_until(begin + leaves_at);
    const std::int64_t delayed = leaving.last_sequence() + 1;
    if (!leaving.deregister()) {
        return could_not_run;
    }
    const milliseconds acknowledged = elapsed();
    record("i-n2: its deregistration is acknowledged");
    if (has_trouble()) {
        wait_until(begin + killed_at);
        node.signal(SIGKILL);
        node.wait_for_end(milliseconds{100});
        std::thread start{[&] {
            wait_until(begin + started_at);
            node.start();
        }};
        wait_until(begin + drill_at);
        record(std::string{"store: the node's record of the departure is "} +
               (all.store.has("dragonflyroad/left/n2") ? "written" : "missing"));
        all.store.go_back(store_away);
        start.join();
        wait_until(begin + rewritten_at);
        all.store.put("op/config", configuration.dump());
    }
    wait_until(begin + late_check_in_at);
    record("i-n2: a check-in of before the deregistration arrives, sequence " +
           std::to_string(delayed));
    leaving.check_in("ready", delayed);
    wait_until(begin + in_touch_at);
    std::thread end{[&] {
        wait_until(begin + target_ends_at);
        leaving.end();
    }};
    std::atomic<int> sent{0};
    const int failed = send_requests(all.nodes[0]->outbound(), begin + requests_end_at, sent);
    end.join();
    int late = 0;
    for (const auto& run : leaving.runs()) {
        late += run.begun > acknowledged + drain ? 1 : 0;
    }
    record("requests sent: " + std::to_string(sent) +
           ", without success: " + std::to_string(failed) +
           ", at i-n2 later than `drain` after its deregistration was acknowledged: " +
           std::to_string(late));
    return late > 0 ? broken : held;
}

} // namespace

int main()
{
    return run_case("review/14/record.txt", play);
}
