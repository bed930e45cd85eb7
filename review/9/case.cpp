// The two machines of a service freeze while they run requests that may be repeated. The node that
// took the requests gives no answer when their time is over.

#include "review/harness-2/fleet.hpp"

#include <csignal>
#include <cstdlib>
#include <thread>

using namespace review2;
using namespace std::chrono_literals;

namespace {

/// Two frozen machines are a tenth of these.
constexpr int node_count = 20;
constexpr std::size_t client_count = 10;

constexpr milliseconds route_timeout{3'000};
constexpr milliseconds freeze_time{5'000};
constexpr milliseconds client_deadline{6'000};

struct waiting_client {
    std::string id;
    std::optional<message> reply;
    milliseconds took{0};
};

void ask(fleet& all, const node& entry, waiting_client& client)
{
    all.journal.add("client", "sends " + client.id);
    const auto sent_at = steady::now();
    client.reply =
        exchange(entry.outbound, client_request("GET", "/orders/1", client.id, client_deadline),
                 client_deadline + 500ms);
    client.took = std::chrono::duration_cast<milliseconds>(steady::now() - sent_at);
    all.journal.add("client",
                    client.id +
                        (client.reply ? " is answered " + std::to_string(client.reply->status())
                                      : std::string{" has no answer"}) +
                        " after " + std::to_string(client.took.count()) + " ms");
}

int play(fleet& all)
{
    std::vector<node*> orders;
    const auto work = [](const message&) { return run_plan{2s}; };
    for (int number = 1; number <= node_count; ++number) {
        const bool has_orders = number == 2 || number == 3;
        node& added =
            all.add_node("n" + std::to_string(number), has_orders ? "orders" : "storefront",
                         "z" + std::to_string(number % 2));
        all.add_target(added, "i-" + std::to_string(number), 7, work);
        if (has_orders) {
            orders.push_back(&added);
        }
    }
    const node& front = *all.nodes.front();
    route rule{"orders", "/orders/", "safe", "orders"};
    rule.timeout = std::to_string(route_timeout.count()) + "ms";
    all.shared.put("op/config", configuration(12, {rule}));
    if (!all.start_nodes()) {
        return 2;
    }
    std::vector<waiting_client> clients(client_count);
    std::vector<std::thread> threads;
    threads.reserve(client_count);
    for (std::size_t index = 0; index < client_count; ++index) {
        clients[index].id = "e9f000000000000" + std::to_string(index);
        threads.emplace_back([&, index] { ask(all, front, clients[index]); });
    }
    const bool run = wait_until(1s, [&] {
        std::size_t count = 0;
        for (const auto& known : all.targets) {
            count += known->runs().size();
        }
        return count == client_count;
    });
    if (!is_calm()) {
        for (node* frozen : orders) {
            frozen->signal(SIGSTOP);
        }
        std::this_thread::sleep_for(freeze_time);
        for (node* frozen : orders) {
            frozen->signal(SIGCONT);
        }
    }
    std::size_t late = 0;
    std::size_t overdue = 0;
    for (std::size_t index = 0; index < client_count; ++index) {
        threads[index].join();
        overdue += clients[index].took > route_timeout ? 1 : 0;
        late += clients[index].took > route_timeout + 500ms ? 1 : 0;
    }
    if (!run) {
        return 2;
    }
    all.journal.add("case", std::to_string(late) + " of " + std::to_string(client_count) +
                                " requests had no answer 0.5 s after the time-out of their route");
    return late >= 8 && 2 * late > overdue ? 1 : 0;
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
