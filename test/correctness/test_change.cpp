#include "config/change_codec.hpp"
#include "config/codec.hpp"
#include "config/references.hpp"
#include "config/replica.hpp"
#include "core/random.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;

namespace {

change put(const organisation& value, revision_number based_on)
{
    const object body{value};
    return {0,
            "id-" + value.id.value + std::to_string(value.rate),
            object_kind::organisation,
            value.id.value,
            change_operation::put,
            encode_object(body).dump(),
            based_on};
}

organisation make_organisation(const std::string& id, double rate)
{
    return {organisation_id{id}, rate, 1, 1};
}

/// A head record and its chunks, held in memory.
struct folded_head {
    head_record head;
    std::map<std::uint64_t, chunk_record> chunks;

    revision_number folded(const std::string& name) const
    {
        for (auto used = this->head.chunks.rbegin(); used != this->head.chunks.rend(); ++used) {
            const auto* found = find_latest_change(this->chunks.at(used->number).entries,
                                                   object_kind::organisation, name);
            if (found != nullptr) {
                return found->operation == change_operation::put ? found->revision : 0;
            }
        }
        return 0;
    }
    configuration build() const
    {
        configuration config;
        for (const chunk_reference& used : this->head.chunks) {
            CHECK(this->chunks.at(used.number).through == used.through);
            REQUIRE(apply_chunk(config, this->chunks.at(used.number)));
        }
        config_replica replica;
        if (config.revision > 0) {
            CHECK(replica.adopt_snapshot(config) == adoption_result::adopted);
        }
        replica.adopt_head(this->head);
        return *replica.current();
    }
};

} // namespace

// Guards against lost updates: a change must not overwrite a version that its author has not read.
TEST_CASE("a change based on an older version of the object is a conflict")
{
    const auto first = plan_change({}, put(make_organisation("a", 1), 0), 0);
    REQUIRE(std::holds_alternative<head_record>(first));
    const auto& head = std::get<head_record>(first);
    CHECK(head.revision == 1);
    const auto late = plan_change(head, put(make_organisation("a", 2), 0), 0);
    REQUIRE(std::holds_alternative<change_conflict>(late));
    CHECK(std::get<change_conflict>(late).current_revision == 1);
    CHECK(std::holds_alternative<head_record>(
        plan_change(head, put(make_organisation("b", 2), 0), 0)));
    CHECK(std::holds_alternative<head_record>(
        plan_change(head, put(make_organisation("a", 2), 1), 0)));
    CHECK(std::holds_alternative<change_conflict>(
        plan_change({}, put(make_organisation("a", 2), 0), 4)));
}

// Guards against objects that are lost, or withdrawn objects that reappear, when older changes are
// folded into chunks.
TEST_CASE("folding random changes preserves the configuration and stays within the size limits")
{
    const compaction_limits limits{5, 10, 100'000, 4'000};
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        random_engine random{seed};
        folded_head stored;
        std::map<std::string, double> expected;
        for (int step = 1; step <= 300; ++step) {
            const std::string name = "o" + std::to_string(uniform_index(random, 60));
            const change* latest =
                find_latest_change(stored.head.changes, object_kind::organisation, name);
            const revision_number folded = stored.folded(name);
            change next_change =
                put(make_organisation(name, step), latest == nullptr ? folded : latest->revision);
            expected[name] = step;
            if (uniform(random) < 0.4) {
                next_change.operation = change_operation::withdraw;
                next_change.body.clear();
                expected.erase(name);
            }
            stored.head = std::get<head_record>(plan_change(stored.head, next_change, folded));
            const chunk_record* last = stored.head.chunks.empty()
                                           ? nullptr
                                           : &stored.chunks.at(stored.head.chunks.back().number);
            if (auto plan = plan_compaction(stored.head, last, limits)) {
                for (const chunk_reference& used : stored.head.chunks) {
                    CHECK(used.number != plan->chunk_number);
                }
                CHECK(encode_chunk(plan->chunk).size() <= limits.max_chunk_bytes);
                stored.chunks[plan->chunk_number] = plan->chunk;
                stored.head = plan->head;
            }
            CHECK(stored.head.changes.size() <= limits.max_head_changes);
        }
        CHECK(stored.head.chunks.size() > 1);
        const auto decoded = decode_head(encode_head(stored.head));
        REQUIRE(decoded);
        CHECK(decoded->changes == stored.head.changes);
        CHECK(decoded->chunks == stored.head.chunks);
        CHECK(decoded->free_chunks == stored.head.free_chunks);
        const configuration config = stored.build();
        CHECK(config.revision == 300);
        REQUIRE(config.organisations.size() == expected.size());
        for (const auto& [name, rate] : expected) {
            CHECK(config.organisations.at(organisation_id{name}).rate == rate);
        }
    }
}

// Guards against a corrupt head in the store that replaces a node's valid configuration.
TEST_CASE("a head with gaps, unknown fields or corrupt bodies is refused")
{
    const auto head = std::get<head_record>(plan_change({}, put(make_organisation("a", 1), 0), 0));
    const std::string valid = encode_head(head);
    REQUIRE(decode_head(valid));
    CHECK(decode_head("")->revision == 0);
    const auto replaced = [&valid](const std::string& from, const std::string& to) {
        std::string text = valid;
        REQUIRE(text.find(from) != std::string::npos);
        return decode_head(text.replace(text.find(from), from.size(), to));
    };
    CHECK_FALSE(decode_head(valid.substr(0, valid.size() / 2)));
    CHECK_FALSE(replaced("\"revision\":1", "\"revision\":2"));
    CHECK_FALSE(replaced("\"revision\":1", "\"revision\":0"));
    CHECK_FALSE(replaced("\"revision\":1", "\"revision\":-1"));
    CHECK_FALSE(replaced("\"chunks\":[]", "\"chunks\":[[1,1,1]]"));
    CHECK_FALSE(replaced("\"rate\":1.0", "\"rate\":-1.0"));
    CHECK_FALSE(replaced("\"id\":\"a\"", "\"id\":\"b\""));
    CHECK_FALSE(replaced("{\"changes\"", "{\"more\":1,\"changes\""));
}

// Guards against references to missing objects, which make a route refuse every request.
TEST_CASE("missing references and referring objects are listed")
{
    configuration config;
    put_object(config, service{service_name{"s"}, profile_name{"p"}});
    put_object(config, make_organisation("o", 1));
    put_object(config, route{route_name{"r"}, "/", service_name{"s"}, {organisation_id{"o"}}});
    const std::string digest(64, 'a');
    put_object(config, key_record{digest, organisation_id{"o"}, key_state::withdrawn});
    using names = std::vector<std::string>;
    CHECK(missing_references(config, service{service_name{"s"}, profile_name{"p"}}) ==
          names{"profile p"});
    CHECK(missing_references(config, key_record{digest, organisation_id{"x"}}) ==
          names{"organisation x"});
    CHECK(referring_objects(config, object_kind::profile, "p") == names{"service s"});
    CHECK(referring_objects(config, object_kind::service, "s") == names{"route r"});
    CHECK(referring_objects(config, object_kind::organisation, "o") == names{"route r"});
    put_object(config, key_record{digest, organisation_id{"o"}, key_state::granted});
    CHECK(referring_objects(config, object_kind::organisation, "o").size() == 2);
}
