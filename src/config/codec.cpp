#include "config/codec.hpp"

#include "config/field_reader.hpp"
#include "core/failure.hpp"

#include <fmt/format.h>
#include <set>

namespace dragonflyroad {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds max_timeout{600'000};
// In retries per first attempt. The retries of a request are also limited by max_attempts.
constexpr double max_retry_budget = 10;
constexpr milliseconds max_repeat_window{86'400'000};
constexpr std::uint64_t max_body_limit = 1U << 30U;
// Far above the target scale of 2.2 million requests per second for all organisations together.
constexpr double max_rate = 1e7;
constexpr double min_weight = 1e-3;
constexpr double max_weight = 1e6;

std::string_view to_word(stale_config_action action)
{
    return action == stale_config_action::serve ? "serve" : "refuse";
}

template<typename Identifier>
std::set<std::string> to_texts(const std::set<Identifier>& identifiers)
{
    std::set<std::string> texts;
    for (const Identifier& identifier : identifiers) {
        texts.insert(identifier.value);
    }
    return texts;
}

json encode(const profile& value)
{
    return {{"name", value.name.value},
            {"timeout_ms", value.timeout.count()},
            {"idle_timeout_ms", value.idle_timeout.count()},
            {"queue_timeout_ms", value.queue_timeout.count()},
            {"max_body_bytes", value.max_body_bytes},
            {"floor", value.floor},
            {"max_attempts", value.max_attempts},
            {"retry_budget", value.retry_budget},
            {"hedging", value.hedging},
            {"repeatable_methods", value.repeatable_methods},
            {"unsafe_methods", value.unsafe_methods},
            {"when_fleet_only", to_word(value.when_fleet_only)},
            {"when_isolated", to_word(value.when_isolated)},
            {"repeat_window_ms", value.repeat_window.count()}};
}

json encode(const service& value)
{
    return {{"name", value.name.value}, {"profile", value.profile.value}};
}

json encode(const route& value)
{
    return {{"name", value.name.value},
            {"path_prefix", value.path_prefix},
            {"service", value.service.value},
            {"organisations", to_texts(value.organisations)}};
}

json encode(const organisation& value)
{
    return {{"id", value.id.value},
            {"rate", value.rate},
            {"burst", value.burst},
            {"weight", value.weight}};
}

json encode(const key_record& value)
{
    return {{"digest", value.digest},
            {"organisation", value.organisation.value},
            {"state", value.state == key_state::granted ? "granted" : "withdrawn"}};
}

void read_action(field_reader& reader, const char* field, stale_config_action& target)
{
    auto index = static_cast<std::size_t>(target);
    reader.read_enum(field, {"serve", "refuse"}, index);
    target = static_cast<stale_config_action>(index);
}

void read(field_reader& reader, profile& value)
{
    std::uint64_t attempts = value.max_attempts;
    reader.read_name("name", value.name.value);
    reader.read_duration("timeout_ms", milliseconds{1}, max_timeout, value.timeout);
    reader.read_duration("idle_timeout_ms", milliseconds{1}, max_timeout, value.idle_timeout);
    reader.read_duration("queue_timeout_ms", milliseconds{0}, max_timeout, value.queue_timeout);
    reader.read_integer("max_body_bytes", 0, max_body_limit, value.max_body_bytes);
    reader.read_number("floor", field_presence::optional, 0, 1, value.floor);
    reader.read_integer("max_attempts", 1, 10, attempts);
    reader.read_number("retry_budget", field_presence::optional, 0, max_retry_budget,
                       value.retry_budget);
    reader.read_boolean("hedging", value.hedging);
    reader.read_names("repeatable_methods", value.repeatable_methods);
    reader.read_names("unsafe_methods", value.unsafe_methods);
    read_action(reader, "when_fleet_only", value.when_fleet_only);
    read_action(reader, "when_isolated", value.when_isolated);
    reader.read_duration("repeat_window_ms", milliseconds{0}, max_repeat_window,
                         value.repeat_window);
    value.max_attempts = static_cast<std::uint32_t>(attempts);
}

void read(field_reader& reader, service& value)
{
    reader.read_name("name", value.name.value);
    reader.read_name("profile", value.profile.value);
}

void read(field_reader& reader, route& value)
{
    std::set<std::string> organisations;
    reader.read_name("name", value.name.value);
    reader.read_path("path_prefix", value.path_prefix);
    reader.read_name("service", value.service.value);
    reader.read_names("organisations", organisations);
    for (const std::string& id : organisations) {
        value.organisations.insert(organisation_id{id});
    }
}

void read(field_reader& reader, organisation& value)
{
    reader.read_name("id", value.id.value);
    reader.read_number("rate", field_presence::required, 0, max_rate, value.rate);
    reader.read_number("burst", field_presence::required, 0, max_rate, value.burst);
    reader.read_number("weight", field_presence::optional, min_weight, max_weight, value.weight);
}

void read(field_reader& reader, key_record& value)
{
    auto state = static_cast<std::size_t>(value.state);
    reader.read_digest("digest", value.digest);
    reader.read_name("organisation", value.organisation.value);
    reader.read_enum("state", {"granted", "withdrawn"}, state);
    value.state = static_cast<key_state>(state);
}

/// The object's kind and, except for keys, its name, for error messages.
std::string describe_object(object_kind kind, const json& fields)
{
    if (kind == object_kind::key || !fields.is_object()) {
        return std::string{to_text(kind)};
    }
    const auto name = fields.find(kind == object_kind::organisation ? "id" : "name");
    return fmt::format("{} {}", to_text(kind), name == fields.end() ? "?" : name->dump());
}

template<typename Object>
std::optional<object> decode(object_kind kind, const json& fields)
{
    Object value;
    field_reader reader{describe_object(kind, fields), fields};
    read(reader, value);
    return reader.finish() ? std::optional<object>{std::move(value)} : std::nullopt;
}

} // namespace

json encode_object(const object& value)
{
    return std::visit([](const auto& item) { return encode(item); }, value);
}

std::optional<object> decode_object(object_kind kind, const json& fields)
{
    switch (kind) {
    case object_kind::profile:
        return decode<profile>(kind, fields);
    case object_kind::service:
        return decode<service>(kind, fields);
    case object_kind::route:
        return decode<route>(kind, fields);
    case object_kind::organisation:
        return decode<organisation>(kind, fields);
    case object_kind::key:
        break;
    }
    return decode<key_record>(kind, fields);
}

std::optional<object> decode_object_text(object_kind kind, const std::string& text)
{
    const json fields = json::parse(text, nullptr, false);
    if (fields.is_discarded()) {
        return fail("decode", std::string{to_text(kind)}, "the text is not valid JSON");
    }
    return decode_object(kind, fields);
}

} // namespace dragonflyroad
