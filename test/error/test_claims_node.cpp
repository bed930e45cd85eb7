#include "claims/claim_table.hpp"
#include "limits/ledger_codec.hpp"
#include "test/support/fake_upstream.hpp"
#include "test/support/raw_socket.hpp"
#include "test/support/test_node.hpp"

#include <doctest/doctest.h>
#include <future>

using namespace dragonflyroad;
using namespace dragonflyroad::test;
using namespace std::chrono_literals;

namespace {

fake_upstream::reply answer_ok(const std::string&)
{
    return {plain_answer(200, "hello"), false, false};
}

bool body_contains(const raw_client::answer& answer, const std::string& text)
{
    return answer.body.find(text) != std::string::npos;
}

raw_client::answer send_keyed(const test_node& node, const std::string& key)
{
    raw_client client{node.caller()};
    const std::string headers =
        "Authorization: Bearer acme-key\r\nIdempotency-Key: " + key + "\r\n";
    return client.exchange(request_text("POST", "/marks/1", headers, "mark"));
}

/// Retries for up to 20 s while the node refuses because it cannot decide on the claim, for example
/// just after seats have changed.
raw_client::answer send_until_decided(test_node& node, const std::string& key,
                                      const fake_upstream& upstream)
{
    const time_point limit = boot_clock::now() + 20s;
    raw_client::answer answer;
    do {
        node.announce(upstream.address());
        answer = send_keyed(node, key);
    } while (boot_clock::now() < limit && (body_contains(answer, "\"claim_unavailable\"") ||
                                           body_contains(answer, "\"rights_unproved\"")));
    return answer;
}

struct two_nodes {
    two_nodes()
    {
        for (test_node* node : {&this->first, &this->second}) {
            node->decisions.rate = nullptr;
            node->decisions.claims = nullptr;
        }
        this->first.start();
        this->second.values = this->first.values;
        this->second.config = this->first.config;
        this->second.settings.id = node_id{"node-2"};
        this->second.settings.seeds = {this->first.running->peer_address()};
        this->second.adjust = [](node_builder& builder) { builder.with_incarnation(0xdef); };
        this->second.start();
    }

    test_node first;
    test_node second;
};

std::string key_name(int index)
{
    return "key-" + std::to_string(index);
}

/// A ledger in which a node that does not answer holds the only seat.
ledger ledger_with_unresponsive_owner(const std::string& address)
{
    seat unresponsive;
    unresponsive.holder = {node_id{"silent"}, 7};
    unresponsive.address = address;
    return *join({}, unresponsive, total_units / 2);
}

} // namespace

// Guards against claims that only one node knows, so that a retry through another node runs again.
TEST_CASE("a key sent through two nodes runs once")
{
    fake_upstream upstream{answer_ok};
    two_nodes fleet;
    constexpr int keys = 20;
    for (int index = 0; index < keys; ++index) {
        CHECK(send_until_decided(fleet.first, key_name(index), upstream).status == 200);
        const auto repeated = send_until_decided(fleet.second, key_name(index), upstream);
        CHECK(body_contains(repeated, "\"reason\":\"repeat_done\""));
        CHECK(body_contains(repeated, "\"ran\":\"yes\""));
    }
    CHECK(upstream.requests().size() == keys);
}

// Guards against a retry through another node that runs while the first request is still running.
TEST_CASE("a key that is running through one node is refused by another")
{
    std::promise<void> arrived;
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    fake_upstream upstream{[&](const std::string& request) {
        arrived.set_value();
        released.wait();
        return answer_ok(request);
    }};
    two_nodes fleet;
    auto running = std::async(std::launch::async,
                              [&] { return send_until_decided(fleet.first, "key", upstream); });
    arrived.get_future().wait();
    const auto repeated = send_until_decided(fleet.second, "key", upstream);
    CHECK(body_contains(repeated, "\"reason\":\"repeat_in_progress\""));
    CHECK(body_contains(repeated, "\"ran\":\"unknown\""));
    release.set_value();
    CHECK(running.get().status == 200);
    CHECK(upstream.requests().size() == 1);
}

// Guards against claims that are lost when their owner stops gracefully.
TEST_CASE("the successor of a stopped owner refuses the repeat")
{
    fake_upstream upstream{answer_ok};
    two_nodes fleet;
    constexpr int keys = 20;
    for (int index = 0; index < keys; ++index) {
        CHECK(send_until_decided(fleet.second, key_name(index), upstream).status == 200);
    }
    fleet.first.running->stop();
    for (int index = 0; index < keys; ++index) {
        const auto repeated = send_until_decided(fleet.second, key_name(index), upstream);
        CHECK(body_contains(repeated, "\"reason\":\"repeat_done\""));
    }
    CHECK(upstream.requests().size() == keys);
}

// Guards against a request that runs without a claim when the key's owner does not answer, and
// against a refusal that leaves open whether the request ran.
TEST_CASE("a key whose owner does not answer is refused as not run")
{
    fake_upstream upstream{answer_ok};
    // Accepts the call and closes the connection, so the node cannot know whether the owner
    // recorded the claim.
    fake_upstream owner{[](const std::string&) { return fake_upstream::reply{"", true, false}; }};
    test_node node;
    node.decisions.rate = nullptr;
    node.decisions.claims = nullptr;
    node.values->write("rights/ledger", encode(ledger_with_unresponsive_owner(owner.address())), 0,
                       {});
    node.start();
    node.announce(upstream.address());
    for (int index = 0; index < 4; ++index) {
        const auto answer = send_keyed(node, key_name(index));
        CHECK(answer.status == 503);
        CHECK(body_contains(answer, "\"reason\":\"claim_unavailable\""));
        CHECK(body_contains(answer, "\"ran\":\"no\""));
    }
    CHECK(upstream.requests().empty());
}

// Guards against a second run of the request with a key when only a lost owner knew of the first
// run.
TEST_CASE("the keys of a lost owner are refused as unknown")
{
    fake_upstream upstream{answer_ok};
    fake_upstream owner{[](const std::string&) { return fake_upstream::reply{"", true, false}; }};
    const ledger before = ledger_with_unresponsive_owner(owner.address());
    const seat_key unresponsive = before.seats.front().holder;
    test_node node;
    node.decisions.rate = nullptr;
    node.decisions.claims = nullptr;
    node.values->write("rights/ledger", encode(*reclaim(*mark(before, unresponsive), unresponsive)),
                       0, {});
    node.start();
    const auto answer = send_until_decided(node, "key", upstream);
    CHECK(body_contains(answer, "\"reason\":\"repeat_unknown\""));
    CHECK(body_contains(answer, "\"ran\":\"unknown\""));
    CHECK(upstream.requests().empty());
}

// Guards against a repeat window that ends too early or does not end.
TEST_CASE("the keys of a lost owner are unknown until the repeat window ends")
{
    const seat_key self{node_id{"self"}, 1};
    const time_point start{1h};
    const ledger before = ledger_with_unresponsive_owner("127.0.0.1:1");
    const seat_key unresponsive = before.seats.front().holder;
    seat joiner;
    joiner.holder = self;
    const ledger seated = *join(*reclaim(*mark(before, unresponsive), unresponsive), joiner, 1);
    claim_table table{self, 10, 0ms};
    table.extend_window(120s);
    table.set_seats(seated, start);
    const claim_request request{{1, 2}, seated.seat_version, 3, 60s};
    CHECK(table.claim(request, true, start + 59s).verdict == claim_verdict::unknown);
    table.expire(start + 59s);
    CHECK(table.claim(request, true, start + 60s).verdict == claim_verdict::granted);
}

// Guards against the holder of the last seat reporting its claims as handed over although no node
// received them.
TEST_CASE("the last seat does not report claims as handed over before they expire")
{
    const seat_key self{node_id{"self"}, 1};
    const time_point start{1h};
    seat own;
    own.holder = self;
    const ledger book = *join({}, own, 1);
    claim_table table{self, 10, 120s};
    table.set_seats(book, start);
    const claim_request request{{1, 2}, book.seat_version, 3, 60s};
    REQUIRE(table.claim(request, true, start).verdict == claim_verdict::granted);
    table.stop();
    CHECK_FALSE(table.has_handed_over());
    table.expire(start + 60s);
    CHECK(table.has_handed_over());
}

// Guards against a hand-over of several messages that counts as complete after the first one.
TEST_CASE("a hand-over is complete only after its last message")
{
    const seat_key self{node_id{"self"}, 1};
    const time_point start{1h};
    const ledger before = ledger_with_unresponsive_owner("127.0.0.1:1");
    seat joiner;
    joiner.holder = self;
    const ledger book = *join(before, joiner, 1);
    claim_table table{self, 10, 120s};
    table.set_seats(book, start);
    claim_request request{{}, book.seat_version, 3, 60s};
    while (claim_owner(book, request.key) != self) {
        ++request.key.high;
    }
    claim_hand_over part;
    part.from = before.seats.front().holder;
    part.seat_version = book.seat_version;
    part.complete_at = before.seat_version;
    part.has_more = true;
    CHECK(table.accept_hand_over(part, start).seat_version == book.seat_version);
    CHECK(table.claim(request, true, start).verdict == claim_verdict::unavailable);
    part.has_more = false;
    part.claims.push_back({request.key, claim_state::done, 1, 60s});
    table.accept_hand_over(part, start);
    CHECK(table.claim(request, true, start).verdict == claim_verdict::done);
}
