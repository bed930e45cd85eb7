#include "config/model.hpp"
#include "core/digest.hpp"
#include "core/random.hpp"

#include <doctest/doctest.h>
#include <map>

using namespace dragonflyroad;

// Guards against records that are lost or mixed up while shards grow, shrink and are shared between
// copies.
TEST_CASE("a compact table behaves like a map under random changes, and copies do not change")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        random_engine random{seed};
        compact_table<organisation_packing> table;
        std::map<std::string, double> expected;
        const compact_table<organisation_packing> empty_copy = table;
        for (int step = 0; step < 2'000; ++step) {
            const organisation_id id{"o" + std::to_string(uniform_index(random, 400))};
            if (uniform(random) < 0.6) {
                table.insert_or_assign(id, organisation{id, static_cast<double>(step), 1, 1});
                expected[id.value] = step;
            }
            else {
                CHECK(table.erase(id) == expected.erase(id.value));
            }
        }
        CHECK(empty_copy.empty());
        REQUIRE(table.size() == expected.size());
        std::size_t visited = 0;
        for (const auto& [id, record] : table) {
            REQUIRE(expected.contains(id.value));
            CHECK(record.rate == expected[id.value]);
            ++visited;
        }
        CHECK(visited == expected.size());
    }
}

// Guards against a lookup that returns a key for a digest other than its own.
TEST_CASE("keys are found by their digest only")
{
    configuration config;
    const std::string digest = sha256_hex("key");
    config.keys.insert_or_assign(digest,
                                 key_record{digest, organisation_id{"o"}, key_state::granted});
    CHECK(config.keys.at(digest).digest == digest);
    config.keys.update(digest, [](key_record& record) { record.state = key_state::withdrawn; });
    CHECK(config.keys.at(digest).state == key_state::withdrawn);
    CHECK(config.keys.at(digest).organisation.value == "o");
    CHECK(config.keys.find(sha256_hex("other")) == config.keys.end());
    CHECK_FALSE(config.keys.contains("key"));
    CHECK_FALSE(config.keys.contains(""));
}
