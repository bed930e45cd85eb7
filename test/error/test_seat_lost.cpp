#include "limits/ledger_codec.hpp"
#include "node/loan_call_queue.hpp"
#include "test/small_fleet.hpp"
#include "test/support/fake_upstream.hpp"
#include "test/support/raw_socket.hpp"
#include "test/support/test_node.hpp"

#include <doctest/doctest.h>
#include <future>
#include <memory>

using namespace dragonflyroad;
using namespace dragonflyroad::test;
using namespace std::chrono_literals;

namespace {

constexpr const char* ledger_key = "rights/ledger";

/// Marks and reclaims the first seat of the ledger, as peers of a lost node do. Returns its holder.
seat_key remove_first_seat(memory_store& values)
{
    write_result written;
    seat_key removed;
    do {
        const auto stored = values.read(ledger_key, {});
        const auto book = decode_ledger(stored->bytes);
        REQUIRE(book);
        removed = book->seats.front().holder;
        written = values.write(ledger_key, encode(*reclaim(*mark(*book, removed), removed)),
                               stored->version, {});
    } while (written.outcome != write_outcome::written);
    return removed;
}

raw_client::answer send_until_answered(test_node& node, const fake_upstream& upstream)
{
    const time_point limit = boot_clock::now() + 20s;
    raw_client client{node.caller()};
    raw_client::answer answer;
    do {
        node.announce(upstream.address());
        answer = client.exchange(request_text("GET", "/marks/1"));
    } while (answer.status != 200 && boot_clock::now() < limit);
    return answer;
}

} // namespace

// Guards against a node that, after its seat was reclaimed, refuses for ever or continues under its
// old run number.
TEST_CASE("a node whose seat was reclaimed rejoins under a new run number")
{
    fake_upstream upstream{
        [](const std::string&) { return fake_upstream::reply{plain_answer(200, "hello")}; }};
    test_node node;
    node.decisions.rate = nullptr;
    node.decisions.claims = nullptr;
    node.start();
    CHECK(send_until_answered(node, upstream).status == 200);
    const seat_key removed = remove_first_seat(*node.values);
    const time_point limit = boot_clock::now() + 20s;
    std::optional<ledger> book;
    do {
        const auto stored = node.values->read(ledger_key, {});
        const auto changed = node.values->watch(ledger_key, stored->version, limit);
        book = decode_ledger(changed->bytes);
    } while (book && book->seats.empty() && boot_clock::now() < limit);
    REQUIRE(book);
    REQUIRE(book->seats.size() == 1);
    CHECK(book->seats.front().holder.node == removed.node);
    CHECK(book->seats.front().holder.node_incarnation > removed.node_incarnation);
    CHECK(send_until_answered(node, upstream).status == 200);
}

// Guards against peers that treat a node as lost when it continues under a new run number, and
// against the node's upstreams leaving the rotation.
TEST_CASE("a node that continues under a new run number keeps its peers and upstreams")
{
    small_fleet fleet{3};
    const local_upstream_state offer{upstream_id{"10.0.0.1:80"}, service_name{"marks"}, 3,
                                     announced_state::serving};
    fleet.run_for(5s);
    fleet.nodes[1]->announce(offer, fleet.now);
    fleet.run_for(2s);
    fleet.nodes[1] = fleet.nodes[1]->continue_with_incarnation(500, fleet.now);
    for (int second = 0; second < 10; ++second) {
        fleet.nodes[1]->announce(offer, fleet.now);
        fleet.run_for(1s);
    }
    for (const std::size_t peer : {0U, 2U}) {
        CHECK(fleet.nodes[peer]->peers().find(card_of(1).node)->node_descriptor.node_incarnation ==
              500);
        CHECK(fleet.state(peer, 1) == peer_state::alive);
        CHECK(fleet.state(1, peer) == peer_state::alive);
        const auto rotation = fleet.nodes[peer]->announcements().in_rotation();
        REQUIRE(rotation.size() == 1);
        CHECK(rotation.front().node_incarnation == 500);
    }
}

// Guards against an unresponsive lender that delays loans from the other lenders.
TEST_CASE("a lender that does not answer does not delay the others")
{
    loan_call_queue calls;
    const seat_key silent{node_id{"silent"}, 1};
    const seat_key good{node_id{"good"}, 1};
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    std::promise<void> answered;
    REQUIRE(calls.submit(silent, [released] {
        released.wait();
        return false;
    }));
    // After a recorded failure the queue allows only one call at a time. A failure is recorded
    // after its call has returned, so this loop submits calls until one is rejected.
    const time_point limit = boot_clock::now() + 20s;
    std::shared_ptr<std::promise<void>> ended;
    do {
        ended = std::make_shared<std::promise<void>>();
        const bool is_taken = calls.submit(silent, [ended] {
            ended->set_value();
            return false;
        });
        if (!is_taken) {
            break;
        }
        ended->get_future().wait();
    } while (boot_clock::now() < limit);
    CHECK(boot_clock::now() < limit);
    REQUIRE(calls.submit(good, [&] {
        answered.set_value();
        return true;
    }));
    CHECK(answered.get_future().wait_for(20s) == std::future_status::ready);
    release.set_value();
}
