#include "claims/message_codec.hpp"
#include "limits/fair_queue.hpp"
#include "limits/fence.hpp"
#include "limits/ledger_codec.hpp"
#include "limits/node_quota.hpp"
#include "limits/witness_state.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};
const organisation tenant{organisation_id{"tenant"}, 100, 100, 1};

seat make_seat(const std::string& name, const std::string& centre)
{
    seat entry;
    entry.holder = {node_id{name}, 1};
    entry.centre = data_centre{centre};
    entry.address = "127.0.0.1:1";
    return entry;
}

ledger two_seats()
{
    ledger book = *join({}, make_seat("a", "x"), total_units / 2);
    return *join(book, make_seat("b", "y"), total_units / 2);
}

} // namespace

// Guards against a ledger operation that creates or loses units.
TEST_CASE("ledger operations keep the total of units")
{
    ledger book = two_seats();
    const seat_key a{node_id{"a"}, 1};
    const seat_key b{node_id{"b"}, 1};
    book = *split(book, a, b, 1000);
    CHECK(book.sum() == total_units);
    book = *mark(book, a);
    CHECK(book.find(a)->marked == book.version);
    CHECK_FALSE(reclaim(book, b));
    book = *reclaim(book, a);
    CHECK(book.sum() == total_units);
    CHECK_FALSE(book.departures.back().handed_over);
    CHECK_FALSE(take_free(book, b, book.free_units + 1));
    book = *take_free(book, b, book.free_units);
    CHECK(book.find(b)->units == total_units);
    CHECK(book.seat_version == 3);
}

// Guards against a reclaim that relies on the consent of witnesses that have been replaced.
TEST_CASE("replacing witnesses removes the mark")
{
    const seat_key a{node_id{"a"}, 1};
    const ledger book = *replace_witnesses(*mark(two_seats(), a), a, {{node_id{"b"}, 1}});
    CHECK(book.find(a)->marked == 0);
}

// Guards against adopting a corrupt ledger, which would let the fleet admit above the limits.
TEST_CASE("corrupt ledgers are refused")
{
    const std::string text = encode(two_seats());
    REQUIRE(decode_ledger(text));
    CHECK(encode(*decode_ledger(text)) == text);
    CHECK_FALSE(decode_ledger(text.substr(0, text.size() / 2)));
    CHECK_FALSE(decode_ledger("[]"));
    std::string wrong = text;
    wrong.replace(wrong.find("\"units\":524288"), 14, "\"units\":524289");
    CHECK_FALSE(decode_ledger(wrong));
    wrong = text;
    wrong.replace(wrong.find("\"units\":524288"), 14, "\"units\":\"many\"");
    CHECK_FALSE(decode_ledger(wrong));
}

// Guards against granting tokens together with new units, and against an eviction that fills a
// token bucket again.
TEST_CASE("gained units start without tokens and eviction creates none")
{
    node_quota quota({node_id{"a"}, 1});
    quota.set_fence(start + 1h);
    quota.set_units(total_units / 2, start);
    CHECK(quota.inspect(tenant, start).tokens == doctest::Approx(0));
    CHECK(quota.inspect(tenant, start + 10s).tokens == doctest::Approx(50));
    quota.set_units(total_units, start + 10s);
    CHECK(quota.inspect(tenant, start + 10s).tokens == doctest::Approx(50));
    for (int count = 0; count < 50; ++count) {
        CHECK(quota.admit(tenant, start + 10s) == admission::admitted);
    }
    CHECK(quota.admit(tenant, start + 10s) == admission::wait);
    for (int count = 0; count < 64; ++count) {
        quota.evict(start + 10s);
    }
    CHECK(quota.accounts() == 1);
    CHECK(quota.inspect(tenant, start + 10s).tokens == doctest::Approx(0).epsilon(0.01));
}

// Guards against memory that grows with organisations that no longer send requests.
TEST_CASE("idle accounts are evicted")
{
    node_quota quota({node_id{"a"}, 1});
    quota.set_fence(start + 1h);
    quota.set_units(total_units, start);
    quota.admit(tenant, start + 10s);
    for (int count = 0; count < 64; ++count) {
        quota.evict(start + 60s);
    }
    CHECK(quota.accounts() == 0);
    CHECK(quota.inspect(tenant, start + 60s).tokens == doctest::Approx(100));
}

// Guards against counting a loan twice when its request, its reply or its return is repeated.
TEST_CASE("repeated messages do not change the total of lent units")
{
    node_quota lender({node_id{"a"}, 1});
    lender.set_fence(start + 1h);
    lender.set_units(total_units, start);
    node_quota borrower({node_id{"b"}, 1});
    random_engine random(1);
    time_point now = start + 10s;
    CHECK(borrower.admit(tenant, now) == admission::wait);
    const loan_plan plan = borrower.plan_loan_messages({{node_id{"a"}, 1}}, random, now);
    REQUIRE(plan.requests.size() == 1);
    const borrow_request request = plan.requests.front().message;
    const borrow_reply reply = lender.lend(request, tenant, now);
    CHECK(reply.units > 0);
    CHECK(lender.lend(request, tenant, now).units == 0);
    CHECK(borrower.accept_loan(reply, now));
    CHECK_FALSE(borrower.accept_loan(reply, now));
    CHECK(borrower.retry(tenant, now) == admission::admitted);
    CHECK(lender.inspect(tenant, now).net_units + borrower.inspect(tenant, now).net_units ==
          total_units);
    // The borrower stops using the units before the lender uses them again.
    CHECK(borrower.inspect(tenant, now + 3s).net_units == 0);
    CHECK(lender.inspect(tenant, now + 3s).net_units < total_units);
    const loan_return back{reply.loan, reply.id, tenant.id, reply.units / 2, 0};
    lender.accept_loan_return(back, now + 3s);
    const std::int64_t once = lender.inspect(tenant, now + 3s).net_units;
    lender.accept_loan_return(back, now + 3s);
    CHECK(lender.inspect(tenant, now + 3s).net_units == once);
    CHECK(lender.inspect(tenant, now + 4s).net_units == total_units);
}

// Guards against a delayed acknowledgement that keeps the fence open for too long.
TEST_CASE("the fence expires relative to the time of the evidence")
{
    fence guard;
    CHECK_FALSE(guard.is_open(start));
    guard.renew_from_witness(start);
    CHECK(guard.is_open(start + 4999ms));
    CHECK_FALSE(guard.is_open(start + 5s));
    guard.renew_from_ledger(start - 1s);
    CHECK_FALSE(guard.is_open(start + 5s));
}

// Guards against a witness that still renews its promise after it consented to a reclaim.
TEST_CASE("a consent ends the promise permanently")
{
    const seat_key a{node_id{"a"}, 1};
    const seat_key b{node_id{"b"}, 1};
    ledger book = *replace_witnesses(two_seats(), a, {b});
    witness_state witnesses(b);
    witnesses.set_ledger(book);
    CHECK(witnesses.promises(a, true));
    CHECK_FALSE(witnesses.promises(a, false));
    CHECK_FALSE(witnesses.consent(a, start, start + 1min));
    book = *mark(book, a);
    witnesses.set_ledger(book);
    CHECK_FALSE(witnesses.consent(a, start, start + 4s));
    CHECK(witnesses.consent(a, start, start + 5s));
    witnesses.set_ledger(*unmark(book, a));
    CHECK_FALSE(witnesses.promises(a, true));
}

// Guards against an organisation that displaces the queued requests of others by sending more.
TEST_CASE("the fair queue serves by weight and sheds from the organisation most above its share")
{
    const organisation_id greedy{"greedy"};
    const organisation_id modest{"modest"};
    fair_queue queue(10);
    for (queue_ticket ticket = 0; ticket < 10; ++ticket) {
        CHECK_FALSE(queue.push(greedy, 1, ticket, start + 1s));
    }
    const auto shed = queue.push(modest, 1, 100, start + 1s);
    REQUIRE(shed);
    CHECK(shed->organisation == greedy);
    CHECK(shed->reason == refusal_reason::overload_shed);
    CHECK(queue.pop(start) == std::optional<queue_ticket>{0});
    CHECK(queue.pop(start) == std::optional<queue_ticket>{100});
    CHECK(queue.remove_expired(start + 1s).size() == 8);
    CHECK(queue.size() == 0);
    CHECK_FALSE(queue.pop(start + 1s));
}

// Guards against values of wrong type or range in messages from peers.
TEST_CASE("messages survive encoding and decoding, and invalid ones are refused")
{
    const borrow_request request{7, {node_id{"a"}, 1}, tenant.id, 10, 1.5, 0};
    auto value = to_json(request);
    REQUIRE(from_json<borrow_request>(value));
    CHECK(to_json(*from_json<borrow_request>(value)) == value);
    value["units"] = -1;
    CHECK_FALSE(from_json<borrow_request>(value));
    value["units"] = "ten";
    CHECK_FALSE(from_json<borrow_request>(value));
    claim_hand_over message{{node_id{"a"}, 1}, 3, 2, false, {}, {}};
    message.claims.push_back({{1, 2}, claim_state::done, 9, 5s});
    message.lost.push_back({{node_id{"b"}, 4}, 2, 1, false, 1s});
    const auto text = to_json(message);
    REQUIRE(from_json<claim_hand_over>(text));
    CHECK(to_json(*from_json<claim_hand_over>(text)) == text);
    auto wrong = text;
    wrong["claims"][0]["state"] = "maybe";
    CHECK_FALSE(from_json<claim_hand_over>(wrong));
}
