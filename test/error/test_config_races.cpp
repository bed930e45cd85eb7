#include "adapters/config_writer.hpp"
#include "config/change_codec.hpp"
#include "config/codec.hpp"
#include "config/replica.hpp"
#include "core/random.hpp"
#include "standin/memory_store.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace dragonflyroad::standin;
using namespace std::chrono_literals;

namespace {

time_point deadline()
{
    return boot_clock::now() + 20s;
}

change put_profile(const std::string& id, const std::string& name, int attempts)
{
    profile value;
    value.name = profile_name{name};
    value.max_attempts = static_cast<std::uint32_t>(attempts);
    const std::string body = encode_object(value).dump();
    return {0, id, object_kind::profile, name, change_operation::put, body, 0};
}

change_result submit(store& target, const change& wanted,
                     std::optional<revision_number> if_revision = std::nullopt)
{
    return submit_change(target, wanted, if_revision, deadline());
}

std::size_t count_in_head(store& source, const std::string& id)
{
    const auto stored = read_configuration(source, deadline());
    REQUIRE(stored);
    return static_cast<std::size_t>(
        std::count_if(stored->head.changes.begin(), stored->head.changes.end(),
                      [&id](const change& entry) { return entry.id == id; }));
}

/// A store that runs a callback once, just before the first write that passes through it.
class interrupted_store final : public store {
public:
    interrupted_store(store& real, std::function<void()> interruption)
        : target_store(real), before_write(std::move(interruption))
    {
    }
    std::optional<store_value> read(const std::string& key, time_point until) override
    {
        return this->target_store.read(key, until);
    }
    write_result write(const std::string& key, const std::string& bytes, std::uint64_t version,
                       time_point until) override
    {
        if (this->before_write) {
            std::exchange(this->before_write, nullptr)();
        }
        return this->target_store.write(key, bytes, version, until);
    }
    std::optional<store_value> watch(const std::string& key, std::uint64_t after,
                                     time_point until) override
    {
        return this->target_store.watch(key, after, until);
    }

private:
    store& target_store;
    std::function<void()> before_write;
};

} // namespace

// Guards against lost updates when two operators change the same profile (failure F8).
TEST_CASE("of two changes of one profile the second is a conflict that shows the first")
{
    memory_store shared;
    interrupted_store second{
        shared, [&] { CHECK(submit(shared, put_profile("a", "p", 4)).revision == 1); }};
    const change_result second_result = submit(second, put_profile("b", "p", 5));
    CHECK(second_result.verdict == write_verdict::conflict);
    REQUIRE(second_result.found);
    CHECK(second_result.found->id == "a");
    CHECK(count_in_head(shared, "b") == 0);

    interrupted_store third{
        shared, [&] { CHECK(submit(shared, put_profile("c", "other", 4)).revision == 2); }};
    const change_result unrelated = submit(third, put_profile("d", "p", 6));
    CHECK(unrelated.verdict == write_verdict::accepted);
    CHECK(unrelated.revision == 3);
    CHECK(submit(shared, put_profile("e", "p", 7), 1).verdict == write_verdict::conflict);
    CHECK(submit(shared, put_profile("f", "p", 7), 3).verdict == write_verdict::accepted);
}

// Guards against a change that is applied twice, or whose outcome is misreported, after the store's
// reply was lost (failure F6).
TEST_CASE("the outcome after a lost reply is resolved whether or not the write took effect")
{
    for (const store_mode mode : {store_mode::lose_replies, store_mode::down}) {
        memory_store shared;
        interrupted_store client{shared, [&] { shared.state.set_fault({mode, 0ms, 1}); }};
        const change_result result = submit(client, put_profile("a", "p", 4));
        CHECK(result.verdict == write_verdict::accepted);
        CHECK(result.revision == 1);
        CHECK(count_in_head(shared, "a") == 1);
    }
}

// Guards against a change that is reported as failed and takes effect later.
TEST_CASE("a store that stays down after a write was sent makes the outcome unknown")
{
    memory_store shared;
    interrupted_store client{shared, [&] { shared.state.set_fault({store_mode::down}); }};
    CHECK(submit(client, put_profile("a", "p", 4)).verdict == write_verdict::unknown);
    CHECK(submit(shared, put_profile("b", "p", 4)).verdict == write_verdict::failed);
}

// Guards against a duplicate of an old write that arrives late and reverts a newer change.
TEST_CASE("a delayed duplicate of a write has no effect")
{
    memory_store shared;
    CHECK(submit(shared, put_profile("a", "p", 4)).revision == 1);
    const auto old = shared.read(head_key, deadline());
    CHECK(submit(shared, put_profile("b", "p", 5)).revision == 2);
    const auto duplicate = shared.write(head_key, old->bytes, old->version - 1, deadline());
    CHECK(duplicate.outcome == write_outcome::conflict);
    CHECK(count_in_head(shared, "b") == 1);
}

// Guards against a stale read that is treated as current.
TEST_CASE("a stale store neither loses an accepted change nor hides a conflict")
{
    memory_store shared;
    CHECK(submit(shared, put_profile("a", "p", 4)).revision == 1);
    shared.state.set_fault({store_mode::stale});
    const change_result first = submit(shared, put_profile("b", "p", 5));
    CHECK(first.verdict == write_verdict::accepted);
    CHECK(submit(shared, put_profile("c", "p", 6)).verdict == write_verdict::failed);
    shared.state.set_fault({});
    CHECK(count_in_head(shared, "b") == 1);
    CHECK(count_in_head(shared, "c") == 0);
}

// Guards against replicas that revert or diverge when heads arrive reordered, repeated or not at
// all, and against objects that are lost when the head is folded.
TEST_CASE("no replica reverts under random delivery orders")
{
    memory_store shared;
    std::vector<head_record> published;
    for (int step = 1; step <= 300; ++step) {
        const std::string name = "p" + std::to_string(step % 17);
        const auto result =
            submit(shared, put_profile("id" + std::to_string(step), name, 1 + step % 10));
        REQUIRE(result.verdict == write_verdict::accepted);
        published.push_back(read_configuration(shared, deadline())->head);
    }
    const auto stored = read_configuration(shared, deadline());
    CHECK_FALSE(stored->chunks.empty());
    const auto expected = stored->build();
    REQUIRE(expected);
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        random_engine random{seed};
        config_replica replica;
        revision_number highest = 0;
        for (int delivery = 0; delivery < 400; ++delivery) {
            const head_record& head = published[uniform_index(random, published.size())];
            if (replica.adopt_head(head) == adoption_result::gap) {
                CHECK(head.compacted_revision() > replica.revision());
            }
            CHECK(replica.revision() >= highest);
            highest = replica.revision();
        }
        replica.adopt_snapshot(*expected);
        CHECK(replica.revision() == 300);
        for (const auto& [name, value] : expected->profiles) {
            CHECK(replica.current()->profiles.at(name).max_attempts == value.max_attempts);
        }
    }
}

// Guards against a configuration that refers to a missing object, so that requests are refused.
TEST_CASE("changes that leave a dangling reference are refused")
{
    memory_store shared;
    const change service_put{
        0, "s", object_kind::service, "s", change_operation::put, R"({"name":"s","profile":"p"})",
        0};
    CHECK(submit(shared, service_put).verdict == write_verdict::refused);
    CHECK(submit(shared, put_profile("a", "p", 4)).verdict == write_verdict::accepted);
    CHECK(submit(shared, service_put).verdict == write_verdict::accepted);
    const change withdrawal{0, "w", object_kind::profile, "p", change_operation::withdraw, "", 0};
    const change_result refused = submit(shared, withdrawal);
    CHECK(refused.verdict == write_verdict::refused);
    CHECK(refused.detail.find("service s") != std::string::npos);
}
