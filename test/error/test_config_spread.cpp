#include "adapters/config_writer.hpp"
#include "config/change_codec.hpp"
#include "config/codec.hpp"
#include "core/digest.hpp"
#include "core/failure.hpp"
#include "node/local_decisions.hpp"
#include "node/node.hpp"
#include "standin/memory_store.hpp"
#include "test/support/raw_socket.hpp"
#include "test/support/test_node.hpp"

#include <condition_variable>
#include <doctest/doctest.h>
#include <mutex>

using namespace dragonflyroad;
using namespace dragonflyroad::test;

namespace {

constexpr std::chrono::seconds wait_limit{20};

/// One node's access to the shared store. The test can make it unreachable or pin the value that it
/// returns.
class controlled_store : public store {
public:
    explicit controlled_store(std::shared_ptr<store> shared) : target(std::move(shared)) {}

    std::optional<store_value> read(const std::string& key, time_point deadline) override
    {
        const auto chosen = this->read_pinned();
        return this->is_reachable() ? chosen ? chosen : this->target->read(key, deadline)
                                    : unreachable_failure();
    }
    write_result write(const std::string& key, const std::string& bytes,
                       std::uint64_t expected_version, time_point deadline) override
    {
        return this->is_reachable() ? this->target->write(key, bytes, expected_version, deadline)
                                    : write_result{write_outcome::unknown, 0, false};
    }
    std::optional<store_value> watch(const std::string& key, std::uint64_t after,
                                     time_point deadline) override
    {
        const auto chosen = this->read_pinned();
        return this->is_reachable() ? chosen ? chosen : this->target->watch(key, after, deadline)
                                    : unreachable_failure();
    }

    void set_reachable(bool value)
    {
        const std::scoped_lock lock{this->mutex};
        this->reachable = value;
    }
    void pin(store_value value)
    {
        const std::scoped_lock lock{this->mutex};
        this->pinned = std::move(value);
        this->answered = 0;
    }
    /// Waits until the node has read the pinned head twice, so that it has processed the first
    /// read.
    bool wait_for_two_reads()
    {
        std::unique_lock lock{this->mutex};
        return this->changed.wait_for(lock, wait_limit, [this] { return this->answered >= 2; });
    }

private:
    static std::optional<store_value> unreachable_failure()
    {
        return fail("store", "test", "cut off");
    }
    bool is_reachable()
    {
        const std::scoped_lock lock{this->mutex};
        return this->reachable;
    }
    std::optional<store_value> read_pinned()
    {
        const std::scoped_lock lock{this->mutex};
        this->answered += this->pinned ? 1 : 0;
        this->changed.notify_all();
        return this->pinned;
    }

    std::shared_ptr<store> target;
    std::mutex mutex;
    std::condition_variable changed;
    bool reachable = true;
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
        decision_interfaces decisions;
        decisions.rate = std::make_shared<local_rate_limiter>();
        node_builder builder{settings};
        builder.with_store(std::move(source)).with_decisions(decisions);
        builder.with_leave_time(std::chrono::milliseconds{0}).with_incarnation(this->started);
        auto running = builder.start();
        REQUIRE(running != nullptr);
        this->seeds = {running->peer_address()};
        return running;
    }

    revision_number submit(const object& value, change_operation operation = change_operation::put)
    {
        change submitted;
        submitted.id = "change-" + std::to_string(++this->changes);
        submitted.kind = kind_of(value);
        submitted.name = name_of(value);
        submitted.operation = operation;
        submitted.body = operation == change_operation::put ? encode_object(value).dump() : "";
        const auto result =
            submit_change(*this->shared, submitted, std::nullopt, boot_clock::now() + wait_limit);
        REQUIRE_MESSAGE(result.verdict == write_verdict::accepted, result.detail);
        return result.revision;
    }

    revision_number put_initial_objects()
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

bool adopts_revision(const node& member, revision_number revision)
{
    return member.wait_for_revision(revision, boot_clock::now() + wait_limit);
}

std::string status_of(const node& member)
{
    raw_client client{member.admin_address()};
    return client.exchange(request_text("GET", "/v1/status", "")).body;
}

bool status_contains(const node& member, const std::string& text)
{
    return status_of(member).find(text) != std::string::npos;
}

} // namespace

// Guards against a replaced VM that cannot serve during an outage of the store.
TEST_CASE("a replaced node gets its configuration from a peer while the store is down")
{
    fleet members;
    const revision_number revision = members.put_initial_objects();
    const auto first = members.start(members.shared);
    REQUIRE(adopts_revision(*first, revision));
    members.shared->state.set_fault({standin::store_mode::down});
    const auto replaced = members.start(members.shared);
    CHECK(adopts_revision(*replaced, revision));
    CHECK(raw_client{replaced->caller_address()}
              .exchange(request_text("GET", "/unknown"))
              .body.find("route_unknown") != std::string::npos);
}

// Guards against a withdrawn key that is still accepted by nodes that cannot reach the store.
TEST_CASE("a key withdrawal reaches a node that can reach its peers but not the store")
{
    fleet members;
    const revision_number granted = members.put_initial_objects();
    const auto controlled = std::make_shared<controlled_store>(members.shared);
    controlled->set_reachable(false);
    const auto first = members.start(members.shared);
    const auto second = members.start(controlled);
    REQUIRE(adopts_revision(*second, granted));
    raw_client client{second->caller_address()};
    CHECK(client.exchange(request_text("GET", "/marks/1")).status != 401);
    const revision_number withdrawn = members.submit(fleet::key(), change_operation::withdraw);
    const time_point accepted = boot_clock::now();
    REQUIRE(adopts_revision(*second, withdrawn));
    CHECK(boot_clock::now() - accepted < std::chrono::seconds{3});
    const auto refused = client.exchange(request_text("GET", "/marks/1"));
    CHECK(refused.status == 401);
    CHECK(refused.body.find("key_withdrawn") != std::string::npos);
}

// Guards against reverting to an older configuration and against adopting a corrupt one.
TEST_CASE("neither a stale nor a corrupt head replaces a newer configuration")
{
    fleet members;
    const revision_number revision = members.put_initial_objects();
    const auto controlled = std::make_shared<controlled_store>(members.shared);
    const auto first = members.start(members.shared);
    const auto second = members.start(controlled);
    REQUIRE(adopts_revision(*second, revision));
    head_record old;
    controlled->pin({encode_head(old), 1});
    REQUIRE(controlled->wait_for_two_reads());
    CHECK(status_contains(*second, "\"revision\":" + std::to_string(revision) + ","));
    CHECK(status_contains(*second, "\"config_older\":1,"));
    controlled->pin({"{\"revision\":", 99});
    REQUIRE(controlled->wait_for_two_reads());
    CHECK(status_contains(*second, "\"revision\":" + std::to_string(revision) + ","));
    CHECK(status_contains(*second, "\"config_refused\":1,"));
    const revision_number next = members.submit(fleet::key(), change_operation::withdraw);
    CHECK(adopts_revision(*second, next));
}
