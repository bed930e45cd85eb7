#include "config/codec.hpp"
#include "config/snapshot_codec.hpp"
#include "core/digest.hpp"
#include "core/failure.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace dragonflyroad;

namespace {

void check_refused(object_kind kind, const std::string& text, const std::string& subject,
                   const std::string& part)
{
    CAPTURE(text);
    CHECK_FALSE(decode_object_text(kind, text));
    CHECK(last_failure().peer.find(subject) != std::string::npos);
    CHECK(last_failure().detail.find(part) != std::string::npos);
}

configuration make_configuration()
{
    configuration config;
    config.revision = 7;
    config.profiles[profile_name{"reads"}].name = profile_name{"reads"};
    put_object(config, service{service_name{"estimates"}, profile_name{"reads"}});
    put_object(config, route{route_name{"all"}, "/e", service_name{"estimates"}, {}});
    for (int number = 0; number < 500; ++number) {
        const organisation_id id{"organisation-" + std::to_string(number)};
        put_object(config, organisation{id, 0.1 * number, 2.0, 1.5});
        const key_state state = number % 3 == 0 ? key_state::withdrawn : key_state::granted;
        put_object(config, key_record{sha256_hex(id.value), id, state});
    }
    return config;
}

} // namespace

// Guards against a field that is lost or changed between an operator and a node.
TEST_CASE("every kind of object survives encoding and decoding")
{
    profile full;
    full.name = profile_name{"full"};
    full.timeout = std::chrono::milliseconds{1};
    full.floor = 0.625;
    full.hedging = true;
    full.repeatable_methods = {"PUT"};
    full.unsafe_methods = {"GET"};
    full.when_fleet_only = stale_config_action::refuse;
    full.when_isolated = stale_config_action::serve;
    const std::vector<object> objects{
        full, service{service_name{"s"}, profile_name{"full"}},
        route{route_name{"r"}, "/a/b", service_name{"s"}, {organisation_id{"o"}}},
        organisation{organisation_id{"o"}, 0.1, 3, 2},
        key_record{sha256_hex("k"), organisation_id{"o"}, key_state::withdrawn}};
    for (const object& value : objects) {
        const auto encoded = encode_object(value);
        const auto decoded = decode_object_text(kind_of(value), encoded.dump());
        REQUIRE(decoded);
        CHECK(encode_object(*decoded) == encoded);
        CHECK(name_of(*decoded) == name_of(value));
    }
}

// Guards against a misspelled or out-of-range policy field that is silently replaced by a default.
TEST_CASE("an error for an unknown field or a value out of range names the object and the field")
{
    check_refused(object_kind::profile, R"({"name":"p","timeout":5})", "profile \"p\"",
                  "field timeout: found an unknown field");
    check_refused(object_kind::profile, R"({"name":"p","timeout_ms":0})", "profile \"p\"",
                  "field timeout_ms: found 0; allowed: a whole number from 1 to 600000");
    check_refused(object_kind::profile, R"({"name":"p","floor":1.5})", "profile \"p\"",
                  "field floor: found 1.5; allowed: a number from 0 to 1");
    check_refused(object_kind::profile, R"({"name":"p","max_attempts":-1})", "profile", "-1");
    check_refused(object_kind::profile, R"({"name":"p","when_isolated":"maybe"})", "profile",
                  "serve, refuse");
    check_refused(object_kind::service, R"({"name":"s"})", "service \"s\"", "profile is missing");
    check_refused(object_kind::route, R"({"name":"r","path_prefix":"a","service":"s"})", "route",
                  "field path_prefix");
    check_refused(object_kind::organisation, R"({"id":"o o","rate":1,"burst":1})", "organisation",
                  "field id");
    check_refused(object_kind::organisation, R"([1])", "organisation", "not an object");
    check_refused(object_kind::organisation, R"({"id":)", "organisation", "not valid JSON");
}

// Guards against an API key that is printed in an error message because an operator entered it in
// place of its digest.
TEST_CASE("the error for a key entered in place of its digest does not contain the key")
{
    CHECK_FALSE(decode_object_text(object_kind::key, R"({"digest":"s3cret","organisation":"o"})"));
    CHECK(last_failure().detail.find("s3cret") == std::string::npos);
}

// Guards against a replaced VM that starts with an incomplete configuration.
TEST_CASE("a snapshot is rebuilt from all of its parts and refused when one is missing")
{
    const configuration config = make_configuration();
    std::vector<snapshot_part> parts;
    encode_snapshot(config, 2'000, [&parts](const snapshot_part& part) { parts.push_back(part); });
    REQUIRE(parts.size() > 3);
    snapshot_builder builder;
    for (const snapshot_part& part : parts) {
        REQUIRE(builder.add(part));
    }
    const auto rebuilt = builder.finish();
    REQUIRE(rebuilt);
    CHECK(rebuilt->revision == 7);
    CHECK(rebuilt->keys.size() == 500);
    CHECK(rebuilt->organisations.at(organisation_id{"organisation-7"}).rate == 0.1 * 7);
    const key_record withdrawn = rebuilt->keys.at(sha256_hex("organisation-9"));
    CHECK(withdrawn.state == key_state::withdrawn);
    CHECK(withdrawn.organisation.value == "organisation-9");

    CHECK(builder.add(parts[0]));
    CHECK_FALSE(builder.add(parts[2]));
    CHECK(builder.add(parts[0]));
    CHECK_FALSE(builder.finish());
    CHECK_FALSE(builder.add({7, 1, false, "[[\"o\",\"x\",-1,0,1]]"}));
}
