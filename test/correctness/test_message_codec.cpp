#include "membership/message_codec.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

peer_message full_ack()
{
    message_body body;
    body.revision = 300;
    body.store_proof_age = 250ms;
    body.seat_version = 7;
    body.ledger_proof_age = 0ms;
    body.last_received = {{1, 3ms}, {2, 400ms}};
    body.descriptors = {
        {node_id{"a"}, 4, 1, data_centre{"dc"}, "1.2.3.4:5", "1.2.3.4:6", "", true}};
    body.suspicions = {{9, 2}};
    body.upstreams = {
        {upstream_id{"1.2.3.4:80"}, service_name{"s"}, 7, announced_state::draining, 9, 3}};
    body.crashes = {{~std::uint64_t{0}, upstream_id{"1.2.3.4:80"}, 9ms}};
    body.ejections = {{upstream_id{"1.2.3.4:80"}, node_id{"a"}, upstream_verdict::slow, 8ms}};
    return {node_id{"sender"}, 9, 11, 12, ack{body, 5, true, 3}};
}

} // namespace

// Guards against fields that are lost or swapped by encoding and decoding.
TEST_CASE("messages survive encoding and decoding with all fields")
{
    peer_message message = full_ack();
    const auto decoded = decode_message(encode_message(message, max_datagram_bytes));
    REQUIRE(decoded);
    CHECK(*decoded == full_ack());
    peer_message asked{node_id{"sender"}, 9, 0, 13, ping{message.body(), {3, 4}, 8}};
    CHECK(decode_message(encode_message(asked, max_datagram_bytes)) == asked);
}

// Guards against datagrams that are too long, and against a synchronisation point (`synced_to`)
// beyond the records in the message.
TEST_CASE("a long message is cut, and its synchronisation point covers only what it holds")
{
    peer_message message = full_ack();
    auto& content = std::get<ack>(message.content);
    content.body.upstreams.clear();
    for (std::uint64_t sequence = 1; sequence <= 60; ++sequence) {
        content.body.upstreams.push_back({upstream_id{"1.2.3.4:" + std::to_string(sequence)},
                                          service_name{"estimates"}, 7, announced_state::serving, 9,
                                          sequence});
    }
    content.synced_to = 60;
    const std::string bytes = encode_message(message, max_datagram_bytes);
    CHECK(bytes.size() <= max_datagram_bytes);
    const auto decoded = decode_message(bytes);
    REQUIRE(decoded);
    const auto& read = std::get<ack>(decoded->content);
    REQUIRE_FALSE(read.body.upstreams.empty());
    CHECK(read.body.upstreams.front().sequence == 1);
    CHECK(read.synced_to == read.body.upstreams.back().sequence);
}

// Guards against rounding an age down, which would make a proof appear newer than it is.
TEST_CASE("ages are rounded up to milliseconds")
{
    peer_message message = full_ack();
    message.body().store_proof_age = 1ns;
    const auto decoded = decode_message(encode_message(message, max_datagram_bytes));
    REQUIRE(decoded);
    CHECK(*decoded->body().store_proof_age == 1ms);
}
