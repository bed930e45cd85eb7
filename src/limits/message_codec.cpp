#include "limits/message_codec.hpp"

#include "core/failure.hpp"

#include <cmath>
#include <string>

namespace dragonflyroad {
namespace {

using nlohmann::json;

bool is_amount(double value)
{
    return std::isfinite(value) && value >= 0;
}

bool is_units(std::int64_t value)
{
    return value >= 0 && value <= total_units;
}

/// Parses a message with `reader`. Records a failure and returns std::nullopt if the reader throws
/// a JSON exception or `check` rejects the message.
template<typename Message, typename Reader, typename Check>
std::optional<Message> read(const char* kind, const json& value, Reader reader, Check check)
{
    try {
        Message message = reader(value);
        if (!check(message)) {
            return fail("read message", kind, "an amount is negative or too large");
        }
        return message;
    }
    catch (const json::exception& error) {
        return fail("read message", kind, error.what());
    }
}

} // namespace

json to_json(const seat_key& key)
{
    return {{"node", key.node.value}, {"run", key.node_incarnation}};
}

seat_key parse_seat_key(const json& value)
{
    return {node_id{value.at("node").get<std::string>()}, value.at("run").get<incarnation>()};
}

json to_json(const borrow_request& message)
{
    return {{"id", message.id},         {"borrower", to_json(message.borrower)},
            {"units", message.units},   {"organisation", message.organisation.value},
            {"tokens", message.tokens}, {"extends", message.extends}};
}

json to_json(const borrow_reply& message)
{
    return {{"id", message.id},
            {"units", message.units},
            {"tokens", message.tokens},
            {"lasts_ms", message.lasts.count()},
            {"lender", to_json(message.lender)},
            {"loan", message.loan}};
}

json to_json(const loan_return& message)
{
    return {{"loan", message.loan},
            {"part", message.part},
            {"organisation", message.organisation.value},
            {"units", message.units},
            {"tokens", message.tokens}};
}

json to_json(const consent_request& message)
{
    return {{"holder", to_json(message.holder)}};
}

json to_json(const consent_reply& message)
{
    return {{"holder", to_json(message.holder)}, {"given", message.given}};
}

template<>
std::optional<borrow_request> from_json(const json& value)
{
    return read<borrow_request>(
        "borrow", value,
        [](const json& v) {
            return borrow_request{v.at("id").get<std::uint64_t>(),
                                  parse_seat_key(v.at("borrower")),
                                  organisation_id{v.at("organisation").get<std::string>()},
                                  v.at("units").get<std::int64_t>(),
                                  v.at("tokens").get<double>(),
                                  v.at("extends").get<std::uint64_t>()};
        },
        [](const borrow_request& m) { return is_units(m.units) && is_amount(m.tokens); });
}

template<>
std::optional<borrow_reply> from_json(const json& value)
{
    return read<borrow_reply>(
        "borrow reply", value,
        [](const json& v) {
            return borrow_reply{v.at("id").get<std::uint64_t>(),
                                v.at("units").get<std::int64_t>(),
                                v.at("tokens").get<double>(),
                                std::chrono::milliseconds{v.at("lasts_ms").get<std::int64_t>()},
                                parse_seat_key(v.at("lender")),
                                v.at("loan").get<std::uint64_t>()};
        },
        [](const borrow_reply& m) {
            return is_units(m.units) && is_amount(m.tokens) && m.lasts.count() >= 0;
        });
}

template<>
std::optional<loan_return> from_json(const json& value)
{
    return read<loan_return>(
        "loan return", value,
        [](const json& v) {
            return loan_return{v.at("loan").get<std::uint64_t>(), v.at("part").get<std::uint64_t>(),
                               organisation_id{v.at("organisation").get<std::string>()},
                               v.at("units").get<std::int64_t>(), v.at("tokens").get<double>()};
        },
        [](const loan_return& m) { return is_units(m.units) && is_amount(m.tokens); });
}

template<>
std::optional<consent_request> from_json(const json& value)
{
    return read<consent_request>(
        "consent", value,
        [](const json& v) { return consent_request{parse_seat_key(v.at("holder"))}; },
        [](const consent_request&) { return true; });
}

template<>
std::optional<consent_reply> from_json(const json& value)
{
    return read<consent_reply>(
        "consent reply", value,
        [](const json& v) {
            return consent_reply{parse_seat_key(v.at("holder")), v.at("given").get<bool>()};
        },
        [](const consent_reply&) { return true; });
}

} // namespace dragonflyroad
