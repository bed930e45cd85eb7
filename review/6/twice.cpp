// The same fault with a target that is full: the outcome "not run" of a request of the former
// process is taken for that of a request of the new one, which then runs a second time.

#include "review/harness-2/fleet.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <thread>

using namespace review2;
using namespace std::chrono_literals;

namespace {

/// Slots of the target, and how long the requests run that fill them.
constexpr std::size_t slots = 7;
constexpr milliseconds long_run{3'600};

/// The deadline of the request that waits in the target's queue.
constexpr milliseconds short_deadline{2'000};

const std::string queued_id = "a6f0000000000001";
const std::string second_id = "b6f0000000000002";

/// A full target: it queues what comes while its slots are taken, and does not drop a request when
/// its connection closes.
run_plan plan_of_full_target(const message& request, steady::time_point free_at)
{
    if (request.method() == "GET") {
        return {long_run, 200, false, true};
    }
    if (request.header("X-Attempt-Id") == queued_id) {
        // Its deadline passes in the queue.
        return {short_deadline, 200, true, true};
    }
    std::this_thread::sleep_until(free_at);
    return {500ms, 200, false, true};
}

int play(fleet& all)
{
    node& front = all.add_node("n1", "storefront", "z1");
    node& first = all.add_node("n2", "orders", "z1");
    node& second = all.add_node("n3", "orders", "z1");
    all.add_target(front, "i-front", slots, [](const message&) { return run_plan{5ms}; });
    const auto free_at = std::make_shared<std::atomic<steady::time_point>>();
    target& full = all.add_target(first, "i-full", slots, [free_at](const message& request) {
        return plan_of_full_target(request, *free_at);
    });
    all.shared.put("op/config", configuration(12, {{"reports", "/reports/", "safe", "orders"},
                                                   {"orders", "/orders/", "unsafe", "orders"},
                                                   {"pages", "/pages/", "safe", "storefront"}}));
    if (!all.start_nodes()) {
        return 2;
    }
    *free_at = steady::now() + long_run;
    std::vector<std::thread> clients;
    const auto send = [&](const std::string& method, const std::string& path, const std::string& id,
                          milliseconds deadline) {
        clients.emplace_back([&all, &front, method, path, id, deadline] {
            const auto reply =
                exchange(front.outbound, client_request(method, path, id, deadline), deadline + 1s);
            all.journal.add("client",
                            id + (reply ? " is answered " + std::to_string(reply->status())
                                        : std::string{" gets no answer"}));
        });
        std::this_thread::sleep_for(5ms);
    };
    for (std::size_t index = 0; index < slots; ++index) {
        send("GET", "/reports/1", "f6f000000000000" + std::to_string(index), 6s);
    }
    send("POST", "/orders/new", queued_id, short_deadline);
    std::this_thread::sleep_for(150ms);
    if (!is_calm()) {
        front.signal(SIGKILL);
        front.wait_for_end(2s);
        std::this_thread::sleep_for(400ms);
        front.start();
    }
    const bool is_back = wait_until(3s, [&] { return front.is_ready(); });
    for (std::size_t index = 0; index < slots; ++index) {
        exchange(front.outbound,
                 client_request("GET", "/pages/1", "e6f000000000000" + std::to_string(index), 2s),
                 2s);
    }
    send("POST", "/orders/new", second_id, 6s);
    std::this_thread::sleep_for(100ms);
    // Another target of the service has started meanwhile.
    target& other =
        all.add_target(second, "i-other", slots, [](const message&) { return run_plan{500ms}; });
    for (std::thread& client : clients) {
        client.join();
    }
    std::this_thread::sleep_for(3s);
    std::size_t most = 0;
    for (const std::string& id : {queued_id, second_id}) {
        const std::size_t count = full.count_runs(id) + other.count_runs(id);
        all.journal.add("case", id + " ran " + std::to_string(count) + " times");
        most = std::max(most, count);
    }
    if (!is_back) {
        return 2;
    }
    return most > 1 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2) {
        return 2;
    }
    fleet& all = make_fleet(argv[1]);
    all.end(play(all));
}
