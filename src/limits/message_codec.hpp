#pragma once

#include "limits/messages.hpp"

#include <nlohmann/json.hpp>
#include <optional>

namespace dragonflyroad {

nlohmann::json to_json(const borrow_request& message);
nlohmann::json to_json(const borrow_reply& message);
nlohmann::json to_json(const loan_return& message);
nlohmann::json to_json(const consent_request& message);
nlohmann::json to_json(const consent_reply& message);

/// Parses a message of the type `Message`. Returns std::nullopt, with the reason in last_failure(),
/// for wrong types, missing fields and amounts that are negative, not finite or too large.
template<typename Message>
std::optional<Message> from_json(const nlohmann::json& value);

template<>
std::optional<borrow_request> from_json(const nlohmann::json& value);
template<>
std::optional<borrow_reply> from_json(const nlohmann::json& value);
template<>
std::optional<loan_return> from_json(const nlohmann::json& value);
template<>
std::optional<consent_request> from_json(const nlohmann::json& value);
template<>
std::optional<consent_reply> from_json(const nlohmann::json& value);

nlohmann::json to_json(const seat_key& key);
/// Throws nlohmann::json::exception on a wrong type or a missing field; for codecs only.
seat_key parse_seat_key(const nlohmann::json& value);

} // namespace dragonflyroad
