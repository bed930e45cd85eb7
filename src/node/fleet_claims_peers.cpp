// Hand-over of claims and handlers for calls from peers. Calls to claim owners are in
// fleet_claims.cpp.
#include "claims/message_codec.hpp"
#include "core/failure.hpp"
#include "node/fleet_claims.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace dragonflyroad {
namespace {

/// Maximum records per call. A record takes about 150 bytes; a call is limited to 4 MB.
constexpr std::size_t records_per_call = 10'000;
constexpr std::chrono::milliseconds call_timeout{300};
constexpr std::chrono::milliseconds hand_over_tick{50};
constexpr std::chrono::seconds expiry_interval{1};

} // namespace

duration fleet_claims::send_hand_overs()
{
    const time_point now = boot_clock::now();
    this->refresh_seats(now);
    std::chrono::milliseconds longest{0};
    for (const auto& [name, rules] : this->deps.shared_state.config.read()->profiles) {
        longest = std::max(longest, rules.repeat_window);
    }
    std::vector<addressed<claim_hand_over>> messages;
    {
        const std::scoped_lock lock{this->mutex};
        this->table.extend_window(longest);
        messages = this->table.due_hand_overs(now);
        if (now >= this->next_expiry) {
            this->table.expire(now);
            this->next_expiry = now + expiry_interval;
        }
    }
    for (const auto& message : messages) {
        this->send_hand_over(message);
    }
    std::uint64_t handed_over = 0;
    {
        const std::scoped_lock lock{this->mutex};
        handed_over = this->table.has_handed_over() ? this->table.seat_version() : 0;
        this->changed.notify_all();
    }
    if (handed_over != 0) {
        this->deps.quota.set_claims_handed_over(handed_over);
    }
    return hand_over_tick;
}

bool fleet_claims::send_hand_over(const addressed<claim_hand_over>& message)
{
    std::string address;
    {
        const std::scoped_lock lock{this->mutex};
        const seat* const receiver = this->ledger_copy->find(message.to);
        if (receiver == nullptr) {
            return false;
        }
        address = receiver->address;
    }
    std::size_t sent = 0;
    do {
        claim_hand_over part = message.message;
        const std::size_t end = std::min(sent + records_per_call, message.message.claims.size());
        part.claims.assign(message.message.claims.begin() + static_cast<std::ptrdiff_t>(sent),
                           message.message.claims.begin() + static_cast<std::ptrdiff_t>(end));
        part.has_more = end < message.message.claims.size();
        sent = end;
        const nlohmann::json params{{"to", to_json(message.to)}, {"message", to_json(part)}};
        const auto response =
            this->client.call(address, "hand_over", params, boot_clock::now() + call_timeout);
        const auto ack = response ? from_json<claim_hand_over_ack>(*response) : std::nullopt;
        if (!ack || ack->seat_version != message.message.seat_version) {
            return false;
        }
        if (!part.has_more) {
            const std::scoped_lock lock{this->mutex};
            this->table.record_hand_over_ack(message.to, *ack);
        }
    } while (sent < message.message.claims.size());
    return true;
}

std::optional<nlohmann::json> fleet_claims::on_claim(const nlohmann::json& params,
                                                     const node_id& caller)
{
    const auto request = from_json<claim_request>(params);
    if (!request) {
        return std::nullopt;
    }
    const time_point now = boot_clock::now();
    const bool is_open = this->refresh_seats(now);
    claim_reply reply;
    {
        const std::scoped_lock lock{this->mutex};
        reply = this->table.claim(*request, is_open, now);
    }
    if (reply.seat_version < request->seat_version) {
        this->deps.quota.request_ledger(caller);
    }
    return to_json(reply);
}

std::optional<nlohmann::json> fleet_claims::on_complete(const nlohmann::json& params,
                                                        const node_id& caller)
{
    const auto message = from_json<claim_completion>(params);
    if (!message) {
        return std::nullopt;
    }
    const time_point now = boot_clock::now();
    const bool is_open = this->refresh_seats(now);
    claim_reply reply;
    {
        const std::scoped_lock lock{this->mutex};
        reply = this->table.complete(*message, is_open, now);
    }
    if (reply.seat_version < message->seat_version) {
        this->deps.quota.request_ledger(caller);
    }
    return to_json(reply);
}

std::optional<nlohmann::json> fleet_claims::on_hand_over(const nlohmann::json& params)
{
    const auto message = from_json<claim_hand_over>(params.at("message"));
    const seat_key to = parse_seat_key(params.at("to"));
    if (!message) {
        return std::nullopt;
    }
    const time_point now = boot_clock::now();
    this->refresh_seats(now);
    const std::scoped_lock lock{this->mutex};
    if (to != this->key) {
        return fail("hand_over", this->deps.node.value, "the message is for another run");
    }
    const claim_hand_over_ack ack = this->table.accept_hand_over(*message, now);
    this->changed.notify_all();
    return to_json(ack);
}

} // namespace dragonflyroad
