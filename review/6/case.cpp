// A node is killed while a request that may not be repeated runs at another machine, and starts
// again. The caller of the next request gets the answer to the first one.

#include "review/harness-2/fleet.hpp"

#include <csignal>
#include <cstdlib>
#include <thread>

using namespace review2;
using namespace std::chrono_literals;

namespace {

struct client_answer {
    std::string id;
    std::optional<message> reply;
};

void send(fleet& all, const node& entry, client_answer& client)
{
    all.journal.add("client", "sends " + client.id + " to " + entry.name);
    client.reply =
        exchange(entry.outbound, client_request("POST", "/orders/new", client.id, 6s), 7s);
    all.journal.add("client", client.reply ? client.id + " is answered " +
                                                 std::to_string(client.reply->status()) + ", id " +
                                                 client.reply->header("X-Attempt-Id") + ", body '" +
                                                 client.reply->body + "'"
                                           : client.id + " gets no answer");
}

bool is_foreign(const client_answer& client)
{
    return client.reply && client.reply->status() == 200 &&
           client.reply->body != "answer to " + client.id;
}

int play(fleet& all)
{
    node& front = all.add_node("n1", "storefront", "z1");
    node& back = all.add_node("n2", "orders", "z1");
    all.add_target(front, "i-front", 7, [](const message&) { return run_plan{100ms}; });
    target& orders =
        all.add_target(back, "i-orders", 7, [](const message&) { return run_plan{3'600ms}; });
    all.shared.put("op/config", configuration(12, {{"orders", "/orders/", "unsafe", "orders"}}));
    if (!all.start_nodes()) {
        return 2;
    }
    client_answer first{"a1f0000000000001", {}};
    client_answer second{"b2f0000000000002", {}};
    std::thread first_client{[&] { send(all, front, first); }};
    const bool runs = wait_until(2s, [&] { return orders.count_runs(first.id) == 1; });
    if (!is_calm()) {
        front.signal(SIGKILL);
        front.wait_for_end(2s);
        // The platform restarts an ended process after a short delay.
        std::this_thread::sleep_for(500ms);
        front.start();
    }
    const bool is_back = wait_until(5s, [&] { return front.is_ready(); });
    send(all, front, second);
    first_client.join();
    if (!runs || !is_back || orders.count_runs(second.id) == 0) {
        all.journal.add("case", "could not run");
        return 2;
    }
    const bool is_broken = is_foreign(first) || is_foreign(second);
    all.journal.add("case", is_broken ? "MIXED is broken" : "MIXED held");
    return is_broken ? 1 : 0;
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
