#include "claims/message_codec.hpp"

#include "core/failure.hpp"

#include <array>
#include <utility>

namespace dragonflyroad {
namespace {

using nlohmann::json;

constexpr std::array<std::pair<claim_state, const char*>, 3> state_names{
    {{claim_state::in_progress, "in_progress"},
     {claim_state::done, "done"},
     {claim_state::unknown, "unknown"}}};
constexpr std::array<std::pair<claim_outcome, const char*>, 3> outcome_names{
    {{claim_outcome::done, "done"},
     {claim_outcome::unknown, "unknown"},
     {claim_outcome::not_run, "not_run"}}};
constexpr std::array<std::pair<claim_verdict, const char*>, 6> verdict_names{
    {{claim_verdict::granted, "granted"},
     {claim_verdict::in_progress, "in_progress"},
     {claim_verdict::done, "done"},
     {claim_verdict::unknown, "unknown"},
     {claim_verdict::unavailable, "unavailable"},
     {claim_verdict::wrong_version, "wrong_version"}}};

template<typename Table, typename Value>
const char* to_name(const Table& table, Value value)
{
    for (const auto& [entry, name] : table) {
        if (entry == value) {
            return name;
        }
    }
    return "";
}

template<typename Table>
auto to_value(const Table& table, const json& name)
{
    for (const auto& [entry, text] : table) {
        if (name.get<std::string>() == text) {
            return entry;
        }
    }
    throw json::other_error::create(501, "not one of the permitted names", &name);
}

json to_json_key(const claim_key& key)
{
    return json::array({key.high, key.low});
}

claim_key parse_key(const json& value)
{
    return {value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>()};
}

std::chrono::milliseconds parse_duration(const json& value)
{
    const auto count = value.get<std::int64_t>();
    constexpr std::int64_t one_week = 7LL * 24 * 3600 * 1000;
    if (count < 0 || count > one_week) {
        throw json::other_error::create(501, "a time is negative or too long", &value);
    }
    return std::chrono::milliseconds{count};
}

template<typename Message, typename Parser>
std::optional<Message> parse_message(const char* kind, const json& value, Parser parse)
{
    try {
        return parse(value);
    }
    catch (const json::exception& error) {
        return fail("read message", kind, error.what());
    }
}

claim_hand_over parse_hand_over(const json& v)
{
    claim_hand_over message;
    message.from = parse_seat_key(v.at("from"));
    message.seat_version = v.at("seat_version").get<std::uint64_t>();
    message.complete_at = v.at("complete_at").get<std::uint64_t>();
    message.leaving = v.at("leaving").get<bool>();
    message.has_more = v.at("has_more").get<bool>();
    for (const json& record : v.at("claims")) {
        message.claims.push_back(
            {parse_key(record.at("key")), to_value(state_names, record.at("state")),
             record.at("attempt").get<std::uint64_t>(), parse_duration(record.at("remaining_ms"))});
    }
    for (const json& entry : v.at("lost")) {
        message.lost.push_back(
            {parse_seat_key(entry.at("holder")), entry.at("departed").get<std::uint64_t>(),
             entry.at("base").get<std::uint64_t>(), entry.at("everything").get<bool>(),
             parse_duration(entry.at("elapsed_ms"))});
    }
    return message;
}

} // namespace

json to_json(const claim_request& message)
{
    return {{"key", to_json_key(message.key)},
            {"seat_version", message.seat_version},
            {"attempt", message.attempt},
            {"window_ms", message.window.count()}};
}

json to_json(const claim_reply& message)
{
    return {{"verdict", to_name(verdict_names, message.verdict)},
            {"seat_version", message.seat_version}};
}

json to_json(const claim_completion& message)
{
    return {{"key", to_json_key(message.key)},
            {"seat_version", message.seat_version},
            {"attempt", message.attempt},
            {"outcome", to_name(outcome_names, message.outcome)},
            {"window_ms", message.window.count()}};
}

json to_json(const claim_hand_over& message)
{
    json claims = json::array();
    for (const claim_record& record : message.claims) {
        claims.push_back({{"key", to_json_key(record.key)},
                          {"state", to_name(state_names, record.state)},
                          {"attempt", record.attempt},
                          {"remaining_ms", record.remaining.count()}});
    }
    json lost = json::array();
    for (const lost_seat& entry : message.lost) {
        lost.push_back({{"holder", to_json(entry.holder)},
                        {"departed", entry.departed},
                        {"base", entry.claims_complete_at},
                        {"everything", entry.affects_all_keys},
                        {"elapsed_ms", entry.elapsed.count()}});
    }
    return {{"from", to_json(message.from)},
            {"seat_version", message.seat_version},
            {"complete_at", message.complete_at},
            {"leaving", message.leaving},
            {"has_more", message.has_more},
            {"claims", std::move(claims)},
            {"lost", std::move(lost)}};
}

json to_json(const claim_hand_over_ack& message)
{
    return {{"from", to_json(message.from)},
            {"seat_version", message.seat_version},
            {"complete_at", message.complete_at},
            {"leaving", message.leaving}};
}

template<>
std::optional<claim_request> from_json(const json& value)
{
    return parse_message<claim_request>("claim request", value, [](const json& v) {
        return claim_request{parse_key(v.at("key")), v.at("seat_version").get<std::uint64_t>(),
                             v.at("attempt").get<std::uint64_t>(),
                             parse_duration(v.at("window_ms"))};
    });
}

template<>
std::optional<claim_reply> from_json(const json& value)
{
    return parse_message<claim_reply>("claim reply", value, [](const json& v) {
        return claim_reply{to_value(verdict_names, v.at("verdict")),
                           v.at("seat_version").get<std::uint64_t>()};
    });
}

template<>
std::optional<claim_completion> from_json(const json& value)
{
    return parse_message<claim_completion>("claim completion", value, [](const json& v) {
        return claim_completion{parse_key(v.at("key")), v.at("seat_version").get<std::uint64_t>(),
                                v.at("attempt").get<std::uint64_t>(),
                                to_value(outcome_names, v.at("outcome")),
                                parse_duration(v.at("window_ms"))};
    });
}

template<>
std::optional<claim_hand_over> from_json(const json& value)
{
    return parse_message<claim_hand_over>("claim hand-over", value, parse_hand_over);
}

template<>
std::optional<claim_hand_over_ack> from_json(const json& value)
{
    return parse_message<claim_hand_over_ack>(
        "claim hand-over acknowledgement", value, [](const json& v) {
            return claim_hand_over_ack{
                parse_seat_key(v.at("from")), v.at("seat_version").get<std::uint64_t>(),
                v.at("complete_at").get<std::uint64_t>(), v.at("leaving").get<bool>()};
        });
}

} // namespace dragonflyroad
