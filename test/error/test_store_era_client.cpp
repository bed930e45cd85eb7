#include "mesh/mesh_node.hpp"
#include "platform/configuration_decoder.hpp"
#include "platform/kv_store.hpp"
#include "test/support/kv_standin.hpp"
#include "test/support/scripted_upstream.hpp"
#include "test/support/test_ports.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

/// An HTTP stand-in of the store that states its era in all answers and goes back to an older copy.
struct era_store {
    boost::asio::io_context loop;
    store_era era = 3;
    /// The era of the next answer only, as if it had waited on its connection.
    std::optional<store_era> late_era;
    int status = 200;
    std::string body = "{}";
    /// Runs when a call has arrived and before it is answered.
    std::function<void()> on_call;
    scripted_upstream peer{loop, [this](std::size_t, const http_request&) {
                               if (this->on_call) {
                                   this->on_call();
                               }
                               const store_era stated =
                                   std::exchange(this->late_era, std::nullopt).value_or(this->era);
                               return scripted_reply{fmt::format(
                                   "HTTP/1.1 {} X\r\nStore-Era: {}\r\nContent-Length: {}\r\n\r\n{}",
                                   this->status, stated, this->body.size(), this->body)};
                           }};
    platform::kv_store store{loop, peer.address()};

    template<typename Result>
    Result wait_for(std::optional<Result>& result)
    {
        while (!result) {
            this->loop.run_one_for(10ms);
        }
        return std::move(*result);
    }

    std::optional<stored_range> read()
    {
        std::optional<std::optional<stored_range>> result;
        this->store.read("", read_freshness::newest,
                         [&](auto range) { result = std::move(range); });
        return this->wait_for(result);
    }

    std::optional<stored_changes> watch()
    {
        std::optional<std::optional<stored_changes>> result;
        this->store.watch("", 40, 100ms, [&](auto changes) { result = std::move(changes); });
        return this->wait_for(result);
    }

    lease_outcome renew()
    {
        std::optional<lease_outcome> result;
        this->store.renew_lease(7, [&](lease_outcome outcome) { result = outcome; });
        return this->wait_for(result);
    }

    commit_outcome commit()
    {
        std::optional<commit_outcome> result;
        this->store.commit({}, [&](commit_outcome outcome) { result = outcome; });
        return this->wait_for(result);
    }

    bool grant()
    {
        std::optional<bool> result;
        this->store.grant_lease(4'500ms, [&](const auto& lease) { result = lease.has_value(); });
        return this->wait_for(result);
    }
};

const char* const range_body = R"({"items":[],"has_more":false,"current_rev":50})";

} // namespace

// Guards against an era that is overlooked in an answer that refuses the call.
TEST_CASE("the era is read from every answer of the store")
{
    era_store back;
    for (const int status : {200, 404, 410, 412, 429, 503}) {
        back.status = status;
        ++back.era;
        back.commit();
        CHECK(back.store.era() == back.era);
    }
    CHECK(back.store.eras().rise_count() == 5);
}

// Guards against a replica that takes changes of the ended era for those of the new one.
TEST_CASE("an answer of an ended era is dropped after one of the new era")
{
    era_store back;
    back.body = range_body;
    REQUIRE(back.read());
    back.era = 4;
    REQUIRE(back.read());
    back.late_era = 3;
    CHECK(!back.read());
    back.late_era = 3;
    CHECK(back.renew() == lease_outcome::unknown);
    back.late_era = 3;
    CHECK(back.commit() == commit_outcome::unknown);
    CHECK(back.store.eras().outdated_count() == 3);
    const auto range = back.read();
    REQUIRE(range);
    CHECK(range->era == 4);
}

// Guards against a lease or a claim that counts although the store has lost it: the call was sent
// before the store went back, and answered afterwards. The numbers of leases are given out again,
// so a renewal may even have reached the lease of another node.
TEST_CASE("a call that was answered in a later era than it was sent in proves nothing")
{
    era_store back;
    back.body = R"({"lease":7,"ttl_time":"4500ms","revision":41})";
    REQUIRE(back.renew() == lease_outcome::renewed);
    back.on_call = [&] { ++back.era; };
    CHECK(back.renew() == lease_outcome::unknown);
    CHECK(back.commit() == commit_outcome::unknown);
    CHECK(!back.grant());
    back.on_call = nullptr;
    CHECK(back.renew() == lease_outcome::renewed);
    CHECK(back.commit() == commit_outcome::committed);
    CHECK(back.grant());
}

// Guards against changes that are missed: the store's revision has passed the one that the watch
// continues from again, so it answers with 200 instead of 410.
TEST_CASE("a watch that crosses eras has lost its history")
{
    era_store back;
    back.body = R"({"events":[],"current_rev":60})";
    const auto first = back.watch();
    REQUIRE(first);
    CHECK(!first->is_history_lost);
    back.on_call = [&] { ++back.era; };
    const auto second = back.watch();
    REQUIRE(second);
    CHECK(second->is_history_lost);
    CHECK(second->era == 4);
}

// Guards against a replica of two eras: the store goes back between two pages of a read.
TEST_CASE("a read whose pages are of two eras fails")
{
    era_store back;
    back.body = R"({"items":[{"key":"a","value":"","revision":1}],"has_more":true,)"
                R"("current_rev":50})";
    int calls = 0;
    back.on_call = [&] {
        if (++calls == 2) {
            ++back.era;
            back.body = R"({"items":[{"key":"b","value":"","revision":1}],"current_rev":9})";
        }
    };
    CHECK(!back.read());
    CHECK(calls == 2);
}

namespace {

/// A node whose store is the stand-in, over HTTP.
struct node_on_standin {
    explicit node_on_standin(store_era era = 1, const std::string& mark = "")
    {
        this->store.era = era;
        if (!mark.empty()) {
            this->store.put("dragonflyroad/era", mark);
        }
        this->store.listen(address(0));
        this->store.put("op/config", configuration(1));
        mesh_settings settings;
        settings.node = node_id{"vm-0"};
        settings.centre = data_centre{"ikeja"};
        settings.caller_address = address(1);
        settings.peer_address = address(2);
        settings.configuration_key = "op/config";
        this->node = std::make_unique<mesh_node>(this->loop, settings, this->client,
                                                 platform::decode_configuration);
        this->node->start();
    }

    static std::string configuration(int version)
    {
        return fmt::format(R"({{"version":"r{}","routes":{{}},"tenants":{{}}}})", version);
    }

    bool run_until(const std::function<bool()>& condition, std::chrono::milliseconds limit)
    {
        const time_point end = boot_clock::now() + limit;
        while (!condition() && boot_clock::now() < end) {
            this->loop.run_one_for(10ms);
        }
        return condition();
    }

    std::size_t groups() const { return this->store.count("dragonflyroad/quota/"); }
    bool has_proof() const { return this->node->report().proof_age.has_value(); }
    revision_number version() const { return this->node->report().revision; }

    static std::string address(int offset)
    {
        return "127.0.0.1:" + std::to_string(first_test_port() + offset);
    }

    boost::asio::io_context loop;
    kv_standin store{loop};
    platform::kv_store client{loop, address(0)};
    std::unique_ptr<mesh_node> node;
};

} // namespace

// Guards against a node that keeps to revisions and leases which the store has lost. Their numbers
// are given out again: here to another node's lease, which must not carry this node's keys.
TEST_CASE("a node writes again over HTTP what the store has lost")
{
    node_on_standin fleet;
    const auto empty = fleet.store.copy();
    REQUIRE(fleet.run_until([&] { return fleet.groups() == quota_group_count; }, 9s));
    fleet.store.put("op/config", node_on_standin::configuration(2));
    REQUIRE(fleet.run_until([&] { return fleet.version() == 2; }, 2s));

    auto older = empty;
    older.last_lease = 2;
    for (store_lease lease = 1; lease <= 2; ++lease) {
        older.leases[lease] = {1h, boot_clock::now() + 1h};
    }
    fleet.store.go_back_to(older);
    CHECK(fleet.run_until(
        [&] {
            return fleet.groups() == quota_group_count &&
                   fleet.store.value("dragonflyroad/vm/vm-0").has_value();
        },
        2s));
    const kv_standin::contents written = fleet.store.copy();
    for (const auto& item : written.items) {
        INFO(item.first);
        CHECK((item.second.lease == 0 || item.second.lease > 2));
    }
    CHECK(fleet.version() == 2);
    fleet.store.put("op/config", node_on_standin::configuration(3));
    CHECK(fleet.run_until([&] { return fleet.version() == 3; }, 2s));
    CHECK(fleet.client.eras().rise_count() == 1);
}

// Guards against a key that stays in use after it was withdrawn: a node starts while the store
// still holds the configuration of an older copy, and takes it for the newest.
TEST_CASE("a node that starts in a new era proves nothing until the era has settled")
{
    SUBCASE("the mark is of the era before")
    {
        node_on_standin fleet{2, "1"};
        REQUIRE(fleet.run_until([&] { return fleet.version() == 1; }, 2s));
        CHECK(!fleet.run_until([&] { return fleet.has_proof(); }, 2s));
        // 3 s for the operators, then the pause of 0.9 s and the watch of 0.7 s of a starting node.
        CHECK(fleet.run_until([&] { return fleet.has_proof(); }, 3s));
    }
    SUBCASE("the configuration is written again")
    {
        node_on_standin fleet{2, "1"};
        REQUIRE(fleet.run_until([&] { return fleet.version() == 1; }, 2s));
        CHECK(!fleet.has_proof());
        fleet.store.put("op/config", node_on_standin::configuration(2));
        CHECK(fleet.run_until([&] { return fleet.has_proof(); }, 1s));
        CHECK(fleet.version() == 2);
    }
    SUBCASE("the era has settled")
    {
        node_on_standin fleet{2, "2"};
        CHECK(fleet.run_until([&] { return fleet.has_proof(); }, 1s));
    }
}
