#include "adapters/config_writer.hpp"
#include "config/change_codec.hpp"
#include "config/codec.hpp"
#include "core/digest.hpp"
#include "core/failure.hpp"
#include "node/node.hpp"
#include "node/simple_gates.hpp"
#include "standin/memory_store.hpp"
#include "test/support/raw_socket.hpp"
#include "test/support/test_node.hpp"

#include <condition_variable>
#include <doctest/doctest.h>
#include <mutex>

using namespace dragonflyroad;
using namespace dragonflyroad::test;

namespace {

constexpr std::chrono::seconds patience{20};

/// One node's way to the shared store, which can be cut, or answer with a chosen head.
class store_path : public store {
public:
    explicit store_path(std::shared_ptr<store> shared) : target(std::move(shared)) {}

    std::optional<store_value> read(const std::string& key, time_point deadline) override
    {
        const auto chosen = this->choose();
        return this->is_open() ? chosen ? chosen : this->target->read(key, deadline) : cut();
    }
    write_result write(const std::string& key, const std::string& bytes,
                       std::uint64_t expected_version, time_point deadline) override
    {
        return this->is_open() ? this->target->write(key, bytes, expected_version, deadline)
                               : write_result{write_outcome::unknown, 0, false};
    }
    std::optional<store_value> watch(const std::string& key, std::uint64_t after,
                                     time_point deadline) override
    {
        const auto chosen = this->choose();
        return this->is_open() ? chosen ? chosen : this->target->watch(key, after, deadline)
                               : cut();
    }

    void set_open(bool value)
    {
        const std::scoped_lock lock{this->mutex};
        this->open = value;
    }
    void pin(store_value value)
    {
        const std::scoped_lock lock{this->mutex};
        this->pinned = std::move(value);
        this->answered = 0;
    }
    /// Waits until the node has read the pinned head at least twice: it has dealt with the first.
    bool wait_for_two_reads()
    {
        std::unique_lock lock{this->mutex};
        return this->changed.wait_for(lock, patience, [this] { return this->answered >= 2; });
    }

private:
    static std::optional<store_value> cut() { return fail("store", "test", "cut off"); }
    bool is_open()
    {
        const std::scoped_lock lock{this->mutex};
        return this->open;
    }
    std::optional<store_value> choose()
    {
        const std::scoped_lock lock{this->mutex};
        this->answered += this->pinned ? 1 : 0;
        this->changed.notify_all();
        return this->pinned;
    }

    std::shared_ptr<store> target;
    std::mutex mutex;
    std::condition_variable changed;
    bool open = true;
    std::optional<store_value> pinned;
    int answered = 0;
};

struct fleet {
    std::shared_ptr<standin::memory_store> shared = std::make_shared<standin::memory_store>();
    std::vector<std::string> seeds;
    std::uint64_t started = 0;

    std::unique_ptr<node> start(std::shared_ptr<store> source)
    {
        node_settings settings = test_node{}.settings;
        settings.id = node_id{"node-" + std::to_string(++this->started)};
        settings.seeds = this->seeds;
        gates decisions;
        decisions.rate = std::make_shared<local_rates>();
        node_builder builder{settings};
        builder.with_store(std::move(source)).with_gates(decisions);
        builder.with_leave_time(std::chrono::milliseconds{0}).with_incarnation(this->started);
        auto running = builder.start();
        REQUIRE(running != nullptr);
        this->seeds = {running->peer_address()};
        return running;
    }

    revision_number submit(const object& value, change_operation operation = change_operation::put)
    {
        change wanted;
        wanted.id = "change-" + std::to_string(++this->changes);
        wanted.kind = kind_of(value);
        wanted.name = name_of(value);
        wanted.operation = operation;
        wanted.body = operation == change_operation::put ? encode_object(value).dump() : "";
        const auto result =
            submit_change(*this->shared, wanted, std::nullopt, boot_clock::now() + patience);
        REQUIRE_MESSAGE(result.verdict == write_verdict::accepted, result.detail);
        return result.revision;
    }

    revision_number put_all()
    {
        profile standard;
        standard.name = profile_name{"standard"};
        this->submit(standard);
        this->submit(service{service_name{"marks"}, profile_name{"standard"}});
        this->submit(route{route_name{"marks"}, "/marks", service_name{"marks"}, {}});
        this->submit(organisation{organisation_id{"acme"}, 1000, 1000, 1});
        return this->submit(key());
    }

    static key_record key()
    {
        return {sha256_hex("acme-key"), organisation_id{"acme"}, key_state::granted};
    }

    std::uint64_t changes = 0;
};

bool reaches(const node& member, revision_number revision)
{
    return member.wait_for_revision(revision, boot_clock::now() + patience);
}

std::string status_of(const node& member)
{
    raw_client client{member.admin_address()};
    return client.exchange(request_text("GET", "/v1/status", "")).body;
}

bool shows(const node& member, const std::string& text)
{
    return status_of(member).find(text) != std::string::npos;
}

} // namespace

// Guards against a replaced VM that cannot serve until the store is back.
TEST_CASE("a replaced node gets its configuration from a peer while the store is down")
{
    fleet members;
    const revision_number revision = members.put_all();
    const auto first = members.start(members.shared);
    REQUIRE(reaches(*first, revision));
    members.shared->state.set_fault({standin::store_mode::down});
    const auto replaced = members.start(members.shared);
    CHECK(reaches(*replaced, revision));
    CHECK(raw_client{replaced->caller_address()}
              .exchange(request_text("GET", "/unknown"))
              .body.find("route_unknown") != std::string::npos);
}

// Guards against a withdrawn key that goes on working on nodes that cannot reach the store.
TEST_CASE("a key withdrawal reaches a node that hears only its peers")
{
    fleet members;
    const revision_number granted = members.put_all();
    const auto path = std::make_shared<store_path>(members.shared);
    path->set_open(false);
    const auto first = members.start(members.shared);
    const auto second = members.start(path);
    REQUIRE(reaches(*second, granted));
    raw_client client{second->caller_address()};
    CHECK(client.exchange(request_text("GET", "/marks/1")).status != 401);
    const revision_number withdrawn = members.submit(fleet::key(), change_operation::withdraw);
    const time_point accepted = boot_clock::now();
    REQUIRE(reaches(*second, withdrawn));
    CHECK(boot_clock::now() - accepted < std::chrono::seconds{3});
    const auto refused = client.exchange(request_text("GET", "/marks/1"));
    CHECK(refused.status == 401);
    CHECK(refused.body.find("key_withdrawn") != std::string::npos);
}

// Guards against going back to an older configuration, and against adopting a corrupt one.
TEST_CASE("neither a stale nor a corrupt head replaces a newer configuration")
{
    fleet members;
    const revision_number revision = members.put_all();
    const auto path = std::make_shared<store_path>(members.shared);
    const auto first = members.start(members.shared);
    const auto second = members.start(path);
    REQUIRE(reaches(*second, revision));
    head_record old;
    path->pin({encode_head(old), 1});
    REQUIRE(path->wait_for_two_reads());
    CHECK(shows(*second, "\"revision\":" + std::to_string(revision) + ","));
    CHECK(shows(*second, "\"config_older\":1,"));
    path->pin({"{\"revision\":", 99});
    REQUIRE(path->wait_for_two_reads());
    CHECK(shows(*second, "\"revision\":" + std::to_string(revision) + ","));
    CHECK(shows(*second, "\"config_refused\":1,"));
    const revision_number next = members.submit(fleet::key(), change_operation::withdraw);
    CHECK(reaches(*second, next));
}
