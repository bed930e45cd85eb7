// A check-in of another writer, whose id holds a byte that is no UTF-8, ends the node's process
// with the requests that it has passed on.

#include "review/harness-2/fleet.hpp"

#include <cstdlib>
#include <thread>

#include <nlohmann/json.hpp>

using namespace review2;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t client_count = 6;

struct kept_client {
    std::string id;
    std::shared_ptr<connection> line;
    std::optional<message> reply;
};

/// Sends a request and waits for its answer on the connection that the client keeps.
std::optional<message> ask(fleet& all, const kept_client& client, const std::string& path,
                           const std::string& id)
{
    all.journal.add("client", "sends " + id);
    if (!client.line->send(client_request("POST", path, id, 6s))) {
        return std::nullopt;
    }
    auto reply = client.line->receive(steady::now() + 7s);
    all.journal.add("client", reply ? id + " is answered " + std::to_string(reply->status())
                                    : id + ": the connection ends without an answer");
    return reply;
}

/// A well-formed check-in, except that its id cannot be read as text.
std::string odd_check_in(const node& beside)
{
    const auto now = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const nlohmann::json body{
        {"address", beside.app.text()},
        {"born", now.count()},
        {"info",
         {{"service", beside.service}, {"version", "v1"}, {"zone", beside.zone}, {"slots", 7}}},
        {"status", {{"state", "draining"}, {"sequence", 1}, {"cold_remaining", "0ms"}}}};
    return encode_request("POST", "/instances/i-\xff/heartbeat",
                          {{"Host", beside.control.text()}, {"Content-Type", "application/json"}},
                          body.dump());
}

int play(fleet& all)
{
    node& front = all.add_node("n1", "storefront", "z1");
    node& back = all.add_node("n2", "orders", "z1");
    all.add_target(front, "i-front", 7, [](const message&) { return run_plan{100ms}; });
    target& orders = all.add_target(back, "i-orders", 7, [](const message& request) {
        return run_plan{request.target() == "/orders/new" ? 2s : milliseconds{50}};
    });
    all.shared.put("op/config", configuration(12, {{"orders", "/orders/", "unsafe", "orders"}}));
    if (!all.start_nodes()) {
        return 2;
    }
    std::vector<kept_client> clients(client_count);
    for (std::size_t index = 0; index < client_count; ++index) {
        clients[index].id = "c7f000000000000" + std::to_string(index);
        clients[index].line = dial(front.outbound);
        if (clients[index].line == nullptr ||
            !ask(all, clients[index], "/orders/old", "a" + clients[index].id.substr(1))) {
            return 2;
        }
    }
    std::vector<std::thread> threads;
    threads.reserve(client_count);
    for (kept_client& client : clients) {
        threads.emplace_back([&] { client.reply = ask(all, client, "/orders/new", client.id); });
    }
    const bool run = wait_until(2s, [&] {
        std::size_t count = 0;
        for (const kept_client& client : clients) {
            count += orders.count_runs(client.id);
        }
        return count == client_count;
    });
    if (!is_calm()) {
        all.journal.add("other writer", "checks in at n1 with an id that is no text");
        exchange(front.control, odd_check_in(front), 1s);
    }
    std::size_t unanswered = 0;
    for (std::size_t index = 0; index < client_count; ++index) {
        threads[index].join();
        unanswered += clients[index].reply ? 0 : 1;
    }
    if (!run) {
        all.journal.add("case", "could not run");
        return 2;
    }
    const bool has_ended = front.wait_for_end(200ms);
    const bool is_broken = unanswered > 3;
    all.journal.add("case",
                    std::to_string(unanswered) +
                        " requests of kept connections were passed on and not answered, n1 " +
                        (has_ended ? "has ended by itself" : "runs"));
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
