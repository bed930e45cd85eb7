#pragma once

#include "claims/messages.hpp"
#include "limits/message_codec.hpp"

namespace dragonflyroad {

nlohmann::json to_json(const claim_request& message);
nlohmann::json to_json(const claim_reply& message);
nlohmann::json to_json(const claim_completion& message);
nlohmann::json to_json(const claim_hand_over& message);
nlohmann::json to_json(const claim_hand_over_ack& message);

template<>
std::optional<claim_request> from_json(const nlohmann::json& value);
template<>
std::optional<claim_reply> from_json(const nlohmann::json& value);
template<>
std::optional<claim_completion> from_json(const nlohmann::json& value);
template<>
std::optional<claim_hand_over> from_json(const nlohmann::json& value);
template<>
std::optional<claim_hand_over_ack> from_json(const nlohmann::json& value);

} // namespace dragonflyroad
