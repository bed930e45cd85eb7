#include "mesh/link_message.hpp"
#include "platform/check_in.hpp"
#include "test/support/mesh_fleet.hpp"
#include "test/support/test_ports.hpp"

#include <optional>
#include <string>
#include <utility>

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

std::string entry(const std::string& node, const std::string& address, const std::string& slots)
{
    return R"({"node":")" + node + R"(","run":7,"address":")" + address +
           R"(","centre":"ikeja","service":"books","slots":)" + slots + "}";
}

} // namespace

// Guards against nodes that end or stop following the store because another writer has left an
// entry that cannot be used, and against requests that are sent to what such an entry names.
TEST_CASE("odd entries among those of the nodes are skipped and later changes still arrive")
{
    mesh_fleet fleet{2};
    const std::string prefix = "dragonflyroad/vm/";
    fleet.store.put(prefix + "nested", std::string(200'000, '['));
    fleet.store.put(prefix + "objects", std::string(1'000, '{'));
    fleet.store.put(prefix + "port", entry("port", "127.0.0.1:70000", "2"));
    fleet.store.put(prefix + "zero", entry("zero", "127.0.0.1:0", "2"));
    fleet.store.put(prefix + "infinite", entry("infinite", "127.0.0.1:9", "1e999"));
    fleet.store.put(prefix + "large", entry("large", "127.0.0.1:9", "99999999999999999999999"));
    fleet.store.put(prefix + "wraps", entry("wraps", "127.0.0.1:9", "4294967298"));
    fleet.store.put(prefix + "negative", entry("negative", "127.0.0.1:9", "-1"));
    fleet.store.put(prefix + "fraction", entry("fraction", "127.0.0.1:9", "2.5"));
    fleet.store.put(prefix + "bytes", "\xff\xfe{\"node\":\"\xc3\x28\"}");
    fleet.store.put("dragonflyroad/quota/3", std::string(100'000, '['));
    fleet.configure("r2", {"other-key", "first-key"});
    fleet.run_until([] { return false; }, 1s);
    for (std::size_t vm = 0; vm < 2; ++vm) {
        CHECK(fleet.vms[vm].node->metrics_text().find("known_nodes 2") != std::string::npos);
        CHECK(fleet.exchange(vm, "POST").response.status == 200);
    }
    fleet.configure("r3", {"third-key"});
    fleet.run_until([] { return false; }, 1s);
    CHECK(fleet.exchange(0, "GET").response.status == 401);
    CHECK(fleet.exchange(1, "GET").response.status == 401);
}

// Guards against a node that ends because the id in the path of a check-in cannot be written as
// JSON text, together with all that it has passed on.
TEST_CASE("a call about an upstream whose id is no plain text is refused and changes nothing")
{
    mesh_fleet fleet{1};
    event_loop_http_server check_ins{
        fleet.context,
        platform::check_in_callbacks(*fleet.vms[0].node, fleet.vms[0].upstream_address)};
    const std::string address = "127.0.0.1:" + std::to_string(first_test_port() + 90);
    REQUIRE(check_ins.listen(address));
    http_client_pool pool{fleet.context, 1U << 20U, 1U << 20U};
    pool.set_address(address);
    const std::string report =
        R"({"address":")" + fleet.vms[0].upstream_address +
        R"(","born":2000,"info":{"service":"books","slots":2},"status":{"state":"draining",)"
        R"("sequence":1}})";
    const auto status_of = [&](const std::string& id, const std::string& action) {
        std::optional<client_exchange_result> result;
        client_exchange_request call;
        call.method = "POST";
        call.bytes =
            encode_request({"POST", "/instances/" + id + "/" + action, {{"Host", "node"}}}, report);
        call.deadline = boot_clock::now() + 2s;
        pool.start(std::move(call), [&](client_exchange_result end) { result = std::move(end); });
        fleet.run_until([&] { return result.has_value(); });
        return result ? result->response.status : 0;
    };
    for (const std::string& id : {std::string{"i-\xff"}, std::string{"i-\xc3\x28"},
                                  std::string{"i-\xed\xa0\x80"}, std::string(300, 'i')}) {
        CAPTURE(id.size());
        CHECK(status_of(id, "heartbeat") == 400);
        CHECK(status_of(id, "deregister") == 400);
    }
    CHECK(fleet.exchange(0, "POST").response.status == 200);
    CHECK(status_of("i-7f3a91c2", "deregister") == 200);
}

// Guards against the same end of the process by another way: ids of lifetimes that left are written
// to the store as JSON text.
TEST_CASE("departed lifetimes can be written whatever bytes their ids hold")
{
    departed_lifetimes departed;
    departed.add("i-\xff", 5);
    departed.add("i-1", 7);
    const auto restored = departed_lifetimes::from_text(departed.to_text());
    CHECK(restored.contains("i-1", 7));
}

// Guards against check-ins whose numbers wrap around or are undefined when they are converted: a
// sequence that is too large would make every later check-in outdated.
TEST_CASE("a check-in with an odd field is refused")
{
    const auto decodes = [](const std::string& slots, const std::string& sequence,
                            const std::string& born) {
        return platform::decode_check_in(
                   "i-1", R"({"address":"127.0.0.1:9","born":)" + born +
                              R"(,"info":{"service":"books","slots":)" + slots +
                              R"(},"status":{"state":"ready","sequence":)" + sequence + "}}")
            .has_value();
    };
    CHECK(decodes("2", "4", "1000"));
    CHECK_FALSE(decodes("4294967298", "4", "1000"));
    CHECK_FALSE(decodes("-2", "4", "1000"));
    CHECK_FALSE(decodes("2.5", "4", "1000"));
    CHECK_FALSE(decodes("1e300", "4", "1000"));
    CHECK_FALSE(decodes("\"2\"", "4", "1000"));
    CHECK_FALSE(decodes("2", "1e30", "1000"));
    CHECK_FALSE(decodes("2", "18446744073709551615", "1000"));
    CHECK_FALSE(decodes("2", "4", "1e30"));
    CHECK_FALSE(decodes(std::string(20'000, '[') + std::string(20'000, ']'), "4", "1000"));
}

// Guards against a node that ends because the decoder of link messages calls itself for each level
// of nesting and overflows the stack.
TEST_CASE("a link message that is nested deeply is refused")
{
    for (const char opening : {'\x81', '\x9f', '\xa1', '\xbf'}) {
        CHECK_FALSE(decode_link_head(std::string(max_link_head_bytes, opening), 0, "peer"));
        CHECK_FALSE(decode_link_head("\x82\x01" + std::string(1U << 20U, opening), 0, "peer"));
    }
    reserve_message whole;
    whole.service = service_name{"books"};
    const std::string bytes = encode_link_message(whole);
    CHECK(decode_link_message(bytes, "peer").has_value());
}
