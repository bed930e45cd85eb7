#include "core/digest.hpp"
#include "membership/datagram_signer.hpp"
#include "test/small_fleet.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace dragonflyroad;

namespace {

constexpr incarnation own_run = 5;

peer_message sample_message()
{
    peer_message message{node_id{"n1"}, 9, own_run, 1, ping{}};
    message.body().revision = 3;
    return message;
}

std::string signed_bytes(const nlohmann::json& value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, nlohmann::detail::output_adapter<char>(bytes));
    return bytes + hmac_sha256("secret", bytes).substr(0, 16);
}

} // namespace

// Guards against messages from senders without the fleet secret.
TEST_CASE("another secret or a changed byte is refused and counted")
{
    datagram_signer receiver{"secret", own_run};
    peer_message message = sample_message();
    CHECK_FALSE(receiver.verify_and_decode(datagram_signer{"other", 9}.sign(message)));
    std::string changed = datagram_signer{"secret", 9}.sign(message);
    changed[4] = static_cast<char>(changed[4] ^ 1);
    CHECK_FALSE(receiver.verify_and_decode(changed));
    CHECK(receiver.rejected_count(datagram_rejection::wrong_signature) == 2);
}

// Guards against replayed datagrams, sent to the same run or to a later run of the receiver.
TEST_CASE("a replayed datagram and one for another run are refused")
{
    datagram_signer receiver{"secret", own_run};
    datagram_signer restarted{"secret", own_run + 1};
    peer_message message = sample_message();
    const std::string bytes = datagram_signer{"secret", 9}.sign(message);
    CHECK(receiver.verify_and_decode(bytes));
    CHECK_FALSE(receiver.verify_and_decode(bytes));
    CHECK(receiver.rejected_count(datagram_rejection::replayed) == 1);
    CHECK_FALSE(restarted.verify_and_decode(bytes));
    CHECK(restarted.rejected_count(datagram_rejection::wrong_destination) == 1);
}

// Guards against misreading messages of another protocol version or with wrong field types.
TEST_CASE("other versions and wrong types are refused by kind")
{
    using nlohmann::json;
    datagram_signer receiver{"secret", own_run};
    CHECK_FALSE(
        receiver.verify_and_decode(signed_bytes({2, "n1", 9, own_run, 1, 0, json::array()})));
    CHECK(receiver.rejected_count(datagram_rejection::wrong_version) == 1);
    const std::vector<json> malformed{{1, 7, 9, own_run, 1, 0, json::array()},
                                      {1, "n1", -9, own_run, 1, 0, json::array()},
                                      {1, "n1", 9, own_run, 1, 2, json::array()},
                                      {1, "n1", 9, own_run, 1, 0, json::object()},
                                      {1, "n1", 9, own_run, 1, 0, {1, "text"}},
                                      {1, "n1", 9, own_run, 1, 0, {1, 2, 1, 2}},
                                      {1, "n1", 9, own_run, 1, 0, {99, 2}},
                                      {1, "n1", 9, own_run, 1, 0, {8, {{"a", "b", 1, 9, 1, 1}}}},
                                      {1, "n1", 9, own_run, 1, 0, {5, {1}}},
                                      json::array()};
    for (const json& value : malformed) {
        CHECK_FALSE(receiver.verify_and_decode(signed_bytes(value)));
    }
    CHECK(receiver.rejected_count(datagram_rejection::malformed) == malformed.size());
}

// Guards against crashes on arbitrary input, with and without a valid signature.
TEST_CASE("random bytes are refused")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        random_engine random{seed};
        datagram_signer receiver{"secret", own_run};
        for (int round = 0; round < 500; ++round) {
            std::string bytes(uniform_index(random, 1'400), '\0');
            for (char& byte : bytes) {
                byte = static_cast<char>(random());
            }
            CHECK_FALSE(receiver.verify_and_decode(bytes));
            CHECK_FALSE(
                receiver.verify_and_decode(bytes + hmac_sha256("secret", bytes).substr(0, 16)));
        }
    }
}

// Guards against harm by messages in which one byte was changed before they were signed.
TEST_CASE("mutated messages are refused or processed without harm")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        random_engine random{seed};
        fleet_membership receiver{test::card_of(0), {}, "secret"};
        receiver.tick(time_point{}, random);
        for (int round = 0; round < 200; ++round) {
            peer_message message{node_id{"n1"}, 101, 100, static_cast<std::uint64_t>(round),
                                 ping{}};
            message.body().descriptors.push_back(test::card_of(1));
            message.body().last_received.push_back({100, std::chrono::milliseconds{5}});
            std::string bytes = datagram_signer{"secret", 101}.sign(message);
            bytes.resize(bytes.size() - 16);
            bytes[uniform_index(random, bytes.size())] = static_cast<char>(random());
            bytes += hmac_sha256("secret", bytes).substr(0, 16);
            receiver.on_datagram(bytes, time_point{}, random);
            CHECK(receiver.peers().peers().size() < 20 * 200);
        }
    }
}
