#include "membership/message_codec.hpp"

#include "core/failure.hpp"
#include "membership/message_reader.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

namespace dragonflyroad {
namespace {

using nlohmann::json;

/// Keys of the fields. A message is [version, sender, run, destination run, nonce, type, fields],
/// and `fields` alternates keys and values; CBOR maps with integer keys are not supported by
/// nlohmann::json. Fields with their default value are left out.
enum field_key : std::uint8_t {
    key_revision = 1,
    key_store_proof_age,
    key_seat_version,
    key_ledger_proof_age,
    key_heard,
    key_cards,
    key_suspicions,
    key_upstreams,
    key_crashes,
    key_ejections,
    key_questions,
    key_synced,
    key_echo,
    key_witness_promise,
    key_synced_to
};

enum message_type : std::uint8_t { type_ping, type_ack };

std::uint64_t to_age(duration age)
{
    const auto rounded_up = std::chrono::ceil<std::chrono::milliseconds>(age).count();
    return rounded_up < 0 ? 0U : static_cast<std::uint64_t>(rounded_up);
}

json encode(const peer_card& card)
{
    return json::array({card.node.value, card.run, card.version, card.centre.value,
                        card.datagram_address, card.rpc_address, card.admin_address, card.leaving});
}

json encode(const upstream_record& record)
{
    return json::array({record.upstream.value, record.service.value, record.slots,
                        static_cast<std::uint8_t>(record.state), record.run, record.sequence});
}

json encode(const crash_report& report)
{
    return json::array({report.fingerprint, report.upstream.value, to_age(report.age)});
}

json encode(const ejection_report& report)
{
    return json::array({report.upstream.value, report.reporter.value,
                        static_cast<std::uint8_t>(report.verdict), to_age(report.age)});
}

class field_writer {
public:
    void number(field_key key, std::uint64_t value)
    {
        if (value != 0) {
            this->put(key, value);
        }
    }

    void age(field_key key, const std::optional<duration>& value)
    {
        if (value) {
            this->put(key, to_age(*value));
        }
    }

    template<typename Entry>
    void list(field_key key, const std::vector<Entry>& entries)
    {
        if (entries.empty()) {
            return;
        }
        json values = json::array();
        for (const Entry& entry : entries) {
            values.push_back(encode(entry));
        }
        this->put(key, std::move(values));
    }

    void put(field_key key, json value)
    {
        this->fields.push_back(static_cast<std::uint8_t>(key));
        this->fields.push_back(std::move(value));
    }

    json fields = json::array();
};

void write_pairs(field_writer& writer, const message_body& body)
{
    json heard = json::array();
    for (const heard_entry& entry : body.heard) {
        heard.push_back(entry.run);
        heard.push_back(to_age(entry.age));
    }
    if (!heard.empty()) {
        writer.put(key_heard, std::move(heard));
    }
    json suspicions = json::array();
    for (const suspicion& entry : body.suspicions) {
        suspicions.push_back(entry.run);
        suspicions.push_back(entry.version);
    }
    if (!suspicions.empty()) {
        writer.put(key_suspicions, std::move(suspicions));
    }
}

void write_body(field_writer& writer, const message_body& body)
{
    writer.number(key_revision, body.revision);
    writer.age(key_store_proof_age, body.store_proof_age);
    writer.number(key_seat_version, body.seat_version);
    writer.age(key_ledger_proof_age, body.ledger_proof_age);
    write_pairs(writer, body);
    writer.list(key_cards, body.cards);
    writer.list(key_upstreams, body.upstreams);
    writer.list(key_crashes, body.crashes);
    writer.list(key_ejections, body.ejections);
}

void write_content(field_writer& writer, const ping& content)
{
    write_body(writer, content.body);
    if (!content.questions.empty()) {
        writer.put(key_questions, content.questions);
    }
    writer.number(key_synced, content.synced);
}

void write_content(field_writer& writer, const ack& content)
{
    write_body(writer, content.body);
    writer.number(key_echo, content.echo);
    writer.number(key_witness_promise, content.witness_promise ? 1 : 0);
    writer.number(key_synced_to, content.synced_to);
}

std::string encode_whole(const peer_message& message)
{
    field_writer writer;
    std::visit([&writer](const auto& content) { write_content(writer, content); }, message.content);
    const bool is_ping = std::holds_alternative<ping>(message.content);
    const json whole = json::array(
        {peer_protocol_version, message.sender.value, message.sender_run, message.destination_run,
         message.nonce, static_cast<std::uint8_t>(is_ping ? type_ping : type_ack), writer.fields});
    std::string bytes;
    json::to_cbor(whole, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

/// An acknowledgement without one of its own records is complete only up to the record before it.
void drop_upstream(peer_message& message)
{
    const upstream_record& dropped = message.body().upstreams.back();
    if (auto* const content = std::get_if<ack>(&message.content);
        content != nullptr && dropped.run == message.sender_run &&
        dropped.sequence <= content->synced_to) {
        content->synced_to = dropped.sequence - 1;
    }
    message.body().upstreams.pop_back();
}

/// Drops the last entry of the longest list; false when all lists are empty.
bool drop_oldest(peer_message& message)
{
    message_body& body = message.body();
    const std::array<std::size_t, 6> sizes{body.upstreams.size(), body.cards.size(),
                                           body.crashes.size(),   body.ejections.size(),
                                           body.heard.size(),     body.suspicions.size()};
    const auto longest = std::max_element(sizes.begin(), sizes.end());
    if (*longest == 0) {
        return false;
    }
    switch (longest - sizes.begin()) {
    case 0:
        drop_upstream(message);
        break;
    case 1:
        body.cards.pop_back();
        break;
    case 2:
        body.crashes.pop_back();
        break;
    case 3:
        body.ejections.pop_back();
        break;
    case 4:
        body.heard.pop_back();
        break;
    default:
        body.suspicions.pop_back();
        break;
    }
    return true;
}

} // namespace

std::string encode_message(peer_message& message, std::size_t max_bytes)
{
    std::string bytes = encode_whole(message);
    while (bytes.size() > max_bytes && drop_oldest(message)) {
        bytes = encode_whole(message);
    }
    return bytes;
}

namespace {

void read_field(message_reader& in, std::uint64_t key, const json& value, message_body& body)
{
    switch (key) {
    case key_revision:
        body.revision = in.number(value);
        break;
    case key_store_proof_age:
        body.store_proof_age = in.age(value);
        break;
    case key_seat_version:
        body.seat_version = in.number(value);
        break;
    case key_ledger_proof_age:
        body.ledger_proof_age = in.age(value);
        break;
    case key_heard:
        body.heard = in.heard(value);
        break;
    case key_cards:
        body.cards = in.list(value, &message_reader::card);
        break;
    case key_suspicions:
        body.suspicions = in.suspicions(value);
        break;
    case key_upstreams:
        body.upstreams = in.list(value, &message_reader::upstream);
        break;
    case key_crashes:
        body.crashes = in.list(value, &message_reader::crash);
        break;
    case key_ejections:
        body.ejections = in.list(value, &message_reader::ejection);
        break;
    default:
        in.refuse("unknown field");
        break;
    }
}

void read_field(message_reader& in, std::uint64_t key, const json& value, ping& content)
{
    switch (key) {
    case key_questions:
        content.questions = in.list(value, &message_reader::number);
        break;
    case key_synced:
        content.synced = in.number(value);
        break;
    default:
        read_field(in, key, value, content.body);
        break;
    }
}

void read_field(message_reader& in, std::uint64_t key, const json& value, ack& content)
{
    switch (key) {
    case key_echo:
        content.echo = in.number(value);
        break;
    case key_witness_promise:
        content.witness_promise = in.flag(value);
        break;
    case key_synced_to:
        content.synced_to = in.number(value);
        break;
    default:
        read_field(in, key, value, content.body);
        break;
    }
}

template<typename Content>
Content read_content(message_reader& in, const json& fields)
{
    Content content;
    if (!fields.is_array() || fields.size() % 2 != 0) {
        in.refuse("fields are not pairs");
        return content;
    }
    std::uint64_t previous = 0;
    for (std::size_t index = 0; index < fields.size() && in.is_valid(); index += 2) {
        const std::uint64_t key = in.number(fields[index]);
        const std::uint64_t bit = std::uint64_t{1} << (key & 63U);
        if (key > key_synced_to || (previous & bit) != 0) {
            in.refuse("repeated or unknown field");
            break;
        }
        previous |= bit;
        read_field(in, key, fields[index + 1], content);
    }
    return content;
}

/// A discarded value when the bytes are not valid CBOR. nlohmann::json 3.11.2 throws on excessive
/// lengths although it was told not to.
json parse(std::string_view bytes)
{
    try {
        return json::from_cbor(bytes, true, false);
    }
    catch (const json::exception&) {
        return {json::value_t::discarded};
    }
}

} // namespace

std::optional<peer_message> decode_message(std::string_view bytes)
{
    const json whole = parse(bytes);
    if (!whole.is_array() || whole.empty()) {
        return fail("decode", "", "not a CBOR array");
    }
    if (whole[0] != json(peer_protocol_version)) {
        return fail("version", "",
                    "protocol version is not " + std::to_string(peer_protocol_version));
    }
    constexpr std::size_t part_count = 7;
    if (whole.size() != part_count) {
        return fail("decode", "", "wrong number of parts");
    }
    message_reader in;
    peer_message message;
    message.sender = node_id{in.name(whole[1])};
    message.sender_run = in.number(whole[2]);
    message.destination_run = in.number(whole[3]);
    message.nonce = in.number(whole[4]);
    const std::uint64_t type = in.number(whole[5]);
    if (type == type_ping) {
        message.content = read_content<ping>(in, whole[6]);
    }
    else if (type == type_ack) {
        message.content = read_content<ack>(in, whole[6]);
    }
    else {
        in.refuse("unknown message type");
    }
    if (!in.is_valid()) {
        return fail("decode", message.sender.value, in.reason());
    }
    return message;
}

} // namespace dragonflyroad
