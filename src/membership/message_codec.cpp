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

/// Keys of the fields. A message is the array [version, sender, incarnation, destination
/// incarnation, nonce, type, fields], where `fields` alternates keys and values because
/// nlohmann::json does not support CBOR maps with integer keys. Fields with their default value are
/// omitted.
enum field_key : std::uint8_t {
    key_revision = 1,
    key_store_proof_age,
    key_seat_version,
    key_ledger_proof_age,
    key_last_received,
    key_descriptors,
    key_suspicions,
    key_upstreams,
    key_crashes,
    key_ejections,
    key_indirect_probes,
    key_synced_sequence,
    key_acked_nonce,
    key_witness_promise,
    key_synced_to
};

enum message_type : std::uint8_t { type_ping, type_ack };

std::uint64_t to_age(duration age)
{
    const auto rounded_up = std::chrono::ceil<std::chrono::milliseconds>(age).count();
    return rounded_up < 0 ? 0U : static_cast<std::uint64_t>(rounded_up);
}

json encode(const peer_descriptor& descriptor)
{
    return json::array({descriptor.node.value, descriptor.node_incarnation, descriptor.version,
                        descriptor.centre.value, descriptor.datagram_address,
                        descriptor.rpc_address, descriptor.admin_address, descriptor.leaving});
}

json encode(const upstream_record& record)
{
    return json::array({record.upstream.value, record.service.value, record.slots,
                        static_cast<std::uint8_t>(record.state), record.node_incarnation,
                        record.sequence});
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
    void write_unsigned(field_key key, std::uint64_t value)
    {
        if (value != 0) {
            this->write_value(key, value);
        }
    }

    void write_age(field_key key, const std::optional<duration>& value)
    {
        if (value) {
            this->write_value(key, to_age(*value));
        }
    }

    template<typename Entry>
    void write_list(field_key key, const std::vector<Entry>& entries)
    {
        if (entries.empty()) {
            return;
        }
        json values = json::array();
        for (const Entry& entry : entries) {
            values.push_back(encode(entry));
        }
        this->write_value(key, std::move(values));
    }

    void write_value(field_key key, json value)
    {
        this->fields.push_back(static_cast<std::uint8_t>(key));
        this->fields.push_back(std::move(value));
    }

    json fields = json::array();
};

void write_pairs(field_writer& writer, const message_body& body)
{
    json last_received = json::array();
    for (const last_received_entry& entry : body.last_received) {
        last_received.push_back(entry.node_incarnation);
        last_received.push_back(to_age(entry.age));
    }
    if (!last_received.empty()) {
        writer.write_value(key_last_received, std::move(last_received));
    }
    json suspicions = json::array();
    for (const suspicion& entry : body.suspicions) {
        suspicions.push_back(entry.node_incarnation);
        suspicions.push_back(entry.version);
    }
    if (!suspicions.empty()) {
        writer.write_value(key_suspicions, std::move(suspicions));
    }
}

void write_body(field_writer& writer, const message_body& body)
{
    writer.write_unsigned(key_revision, body.revision);
    writer.write_age(key_store_proof_age, body.store_proof_age);
    writer.write_unsigned(key_seat_version, body.seat_version);
    writer.write_age(key_ledger_proof_age, body.ledger_proof_age);
    write_pairs(writer, body);
    writer.write_list(key_descriptors, body.descriptors);
    writer.write_list(key_upstreams, body.upstreams);
    writer.write_list(key_crashes, body.crashes);
    writer.write_list(key_ejections, body.ejections);
}

void write_content(field_writer& writer, const ping& content)
{
    write_body(writer, content.body);
    if (!content.indirect_probes.empty()) {
        writer.write_value(key_indirect_probes, content.indirect_probes);
    }
    writer.write_unsigned(key_synced_sequence, content.synced_sequence);
}

void write_content(field_writer& writer, const ack& content)
{
    write_body(writer, content.body);
    writer.write_unsigned(key_acked_nonce, content.acked_nonce);
    writer.write_unsigned(key_witness_promise, content.witness_promise ? 1 : 0);
    writer.write_unsigned(key_synced_to, content.synced_to);
}

std::string encode_without_limit(const peer_message& message)
{
    field_writer writer;
    std::visit([&writer](const auto& content) { write_content(writer, content); }, message.content);
    const bool is_ping = std::holds_alternative<ping>(message.content);
    const json whole =
        json::array({peer_protocol_version, message.sender.value, message.sender_incarnation,
                     message.destination_incarnation, message.nonce,
                     static_cast<std::uint8_t>(is_ping ? type_ping : type_ack), writer.fields});
    std::string bytes;
    json::to_cbor(whole, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

/// Drops the last upstream record. An acknowledgement that loses a record of its sender is complete
/// only up to the preceding sequence.
void drop_last_upstream(peer_message& message)
{
    const upstream_record& dropped = message.body().upstreams.back();
    if (auto* const content = std::get_if<ack>(&message.content);
        content != nullptr && dropped.node_incarnation == message.sender_incarnation &&
        dropped.sequence <= content->synced_to) {
        content->synced_to = dropped.sequence - 1;
    }
    message.body().upstreams.pop_back();
}

/// Drops the last entry of the longest list. Returns false if all lists are empty.
bool drop_oldest_entry(peer_message& message)
{
    message_body& body = message.body();
    const std::array<std::size_t, 6> sizes{body.upstreams.size(),     body.descriptors.size(),
                                           body.crashes.size(),       body.ejections.size(),
                                           body.last_received.size(), body.suspicions.size()};
    const auto longest = std::max_element(sizes.begin(), sizes.end());
    if (*longest == 0) {
        return false;
    }
    switch (longest - sizes.begin()) {
    case 0:
        drop_last_upstream(message);
        break;
    case 1:
        body.descriptors.pop_back();
        break;
    case 2:
        body.crashes.pop_back();
        break;
    case 3:
        body.ejections.pop_back();
        break;
    case 4:
        body.last_received.pop_back();
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
    std::string bytes = encode_without_limit(message);
    while (bytes.size() > max_bytes && drop_oldest_entry(message)) {
        bytes = encode_without_limit(message);
    }
    return bytes;
}

namespace {

void read_field(message_reader& in, std::uint64_t key, const json& value, message_body& body)
{
    switch (key) {
    case key_revision:
        body.revision = in.read_unsigned(value);
        break;
    case key_store_proof_age:
        body.store_proof_age = in.read_age(value);
        break;
    case key_seat_version:
        body.seat_version = in.read_unsigned(value);
        break;
    case key_ledger_proof_age:
        body.ledger_proof_age = in.read_age(value);
        break;
    case key_last_received:
        body.last_received = in.read_last_received(value);
        break;
    case key_descriptors:
        body.descriptors = in.read_list(value, &message_reader::read_descriptor);
        break;
    case key_suspicions:
        body.suspicions = in.read_suspicions(value);
        break;
    case key_upstreams:
        body.upstreams = in.read_list(value, &message_reader::read_upstream);
        break;
    case key_crashes:
        body.crashes = in.read_list(value, &message_reader::read_crash);
        break;
    case key_ejections:
        body.ejections = in.read_list(value, &message_reader::read_ejection);
        break;
    default:
        in.reject("unknown field key");
        break;
    }
}

void read_field(message_reader& in, std::uint64_t key, const json& value, ping& content)
{
    switch (key) {
    case key_indirect_probes:
        content.indirect_probes = in.read_list(value, &message_reader::read_unsigned);
        break;
    case key_synced_sequence:
        content.synced_sequence = in.read_unsigned(value);
        break;
    default:
        read_field(in, key, value, content.body);
        break;
    }
}

void read_field(message_reader& in, std::uint64_t key, const json& value, ack& content)
{
    switch (key) {
    case key_acked_nonce:
        content.acked_nonce = in.read_unsigned(value);
        break;
    case key_witness_promise:
        content.witness_promise = in.read_bool(value);
        break;
    case key_synced_to:
        content.synced_to = in.read_unsigned(value);
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
        in.reject("expected an array of alternating field keys and values");
        return content;
    }
    std::uint64_t previous = 0;
    for (std::size_t index = 0; index < fields.size() && in.is_valid(); index += 2) {
        const std::uint64_t key = in.read_unsigned(fields[index]);
        const std::uint64_t bit = std::uint64_t{1} << (key & 63U);
        if (key > key_synced_to || (previous & bit) != 0) {
            in.reject("duplicate or unknown field key");
            break;
        }
        previous |= bit;
        read_field(in, key, fields[index + 1], content);
    }
    return content;
}

/// Returns a discarded value if the bytes are not valid CBOR. Catches exceptions because
/// nlohmann::json 3.11.2 throws on excessive lengths even with allow_exceptions = false.
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
        return fail("decode", "", "expected a non-empty CBOR array");
    }
    if (whole[0] != json(peer_protocol_version)) {
        return fail("version", "",
                    "protocol version is not " + std::to_string(peer_protocol_version));
    }
    constexpr std::size_t part_count = 7;
    if (whole.size() != part_count) {
        return fail("decode", "", "expected a message array of 7 elements");
    }
    message_reader in;
    peer_message message;
    message.sender = node_id{in.read_name(whole[1])};
    message.sender_incarnation = in.read_unsigned(whole[2]);
    message.destination_incarnation = in.read_unsigned(whole[3]);
    message.nonce = in.read_unsigned(whole[4]);
    const std::uint64_t type = in.read_unsigned(whole[5]);
    if (type == type_ping) {
        message.content = read_content<ping>(in, whole[6]);
    }
    else if (type == type_ack) {
        message.content = read_content<ack>(in, whole[6]);
    }
    else {
        in.reject("unknown message type");
    }
    if (!in.is_valid()) {
        return fail("decode", message.sender.value, in.error());
    }
    return message;
}

} // namespace dragonflyroad
