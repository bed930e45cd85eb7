#include "mesh/link_message.hpp"

#include "core/failure.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

#include <nlohmann/json.hpp>

namespace dragonflyroad {
namespace {

using nlohmann::json;
using milliseconds = std::chrono::milliseconds;

/// Encodes a message as an array: the index of its type in link_message, then its fields in order.
/// The last field of a message, which nodes of an earlier version do not send.
template<typename Value>
struct optional_field {
    Value& value;
};

template<typename Value>
optional_field(Value&) -> optional_field<Value>;

class field_writer {
public:
    explicit field_writer(std::size_t kind) : fields(json::array({kind})) {}

    void operator()(const std::string& text) { this->fields.push_back(text); }
    void operator()(const shared_bytes& bytes)
    {
        this->fields.push_back(bytes.size());
        this->body = bytes;
    }
    void operator()(std::uint64_t number) { this->fields.push_back(number); }
    void operator()(bool flag) { this->fields.push_back(flag); }
    void operator()(int number) { this->fields.push_back(number); }
    void operator()(double number) { this->fields.push_back(number); }
    void operator()(milliseconds span) { this->fields.push_back(span.count()); }
    template<typename Tag>
    void operator()(const identifier<Tag>& id)
    {
        this->fields.push_back(id.value);
    }
    void operator()(const std::vector<run_id>& ids) { this->fields.push_back(ids); }
    void operator()(const work_rank& rank)
    {
        this->fields.push_back(
            {rank.is_new_request, rank.organisation_priority, rank.route_priority});
    }
    void operator()(const upstream_load_report& load)
    {
        this->fields.push_back({load.busy, load.waiting, load.slots, load.typical_run.count()});
    }
    void operator()(const http_headers& headers)
    {
        json pairs = json::array();
        for (const http_header& header : headers) {
            pairs.push_back(header.name);
            pairs.push_back(header.value);
        }
        this->fields.push_back(std::move(pairs));
    }
    void operator()(const std::vector<stored_item>& items)
    {
        json rows = json::array();
        for (const stored_item& item : items) {
            rows.push_back({item.key, item.value, item.revision, item.is_removed});
        }
        this->fields.push_back(std::move(rows));
    }
    void operator()(const request_head& head)
    {
        (*this)(head.method);
        (*this)(head.target);
        (*this)(head.headers);
    }
    template<typename Enumeration>
    requires std::is_enum_v<Enumeration>
    void operator()(Enumeration value) { this->fields.push_back(static_cast<int>(value)); }

    template<typename Value>
    void operator()(const optional_field<Value>& field)
    {
        (*this)(field.value);
    }

    json fields;
    shared_bytes body;
};

class field_reader {
public:
    field_reader(json document, std::size_t size)
        : fields(std::move(document)), body_bytes(size), has_body(size == 0)
    {
    }

    template<typename Value>
    void operator()(Value& value)
    {
        this->read(this->fields.at(this->next++), value);
    }
    /// The last field of its messages; nodes of an earlier version do not send it.
    void operator()(upstream_load_report& load)
    {
        if (!this->is_finished()) {
            this->read(this->fields.at(this->next++), load);
        }
    }

    template<typename Value>
    void operator()(const optional_field<Value>& field)
    {
        if (!this->is_finished()) {
            (*this)(field.value);
        }
    }

    /// The body follows the head, which states only its size.
    void operator()(shared_bytes&)
    {
        this->has_body = this->fields.at(this->next++).get<std::size_t>() == this->body_bytes;
    }

    bool is_finished() const { return this->next == this->fields.size() && this->has_body; }

private:
    static void read(const json& field, std::string& text) { text = field.get<std::string>(); }
    static void read(const json& field, std::uint64_t& number)
    {
        number = field.get<std::uint64_t>();
    }
    static void read(const json& field, bool& flag) { flag = field.get<bool>(); }
    static void read(const json& field, int& number) { number = field.get<int>(); }
    static void read(const json& field, double& number) { number = field.get<double>(); }
    static void read(const json& field, milliseconds& span)
    {
        span = milliseconds{field.get<std::int64_t>()};
    }
    template<typename Tag>
    static void read(const json& field, identifier<Tag>& id)
    {
        id.value = field.get<std::string>();
    }
    static void read(const json& field, std::vector<run_id>& ids)
    {
        ids = field.get<std::vector<run_id>>();
    }
    static void read(const json& field, work_rank& rank)
    {
        rank = {field.at(0).get<bool>(), field.at(1).get<int>(), field.at(2).get<int>()};
    }
    static void read(const json& field, upstream_load_report& load)
    {
        load = {field.at(0).get<std::uint32_t>(), field.at(1).get<std::uint32_t>(),
                field.at(2).get<std::uint32_t>(), milliseconds{field.at(3).get<std::uint32_t>()}};
    }
    static void read(const json& field, http_headers& headers)
    {
        for (std::size_t index = 0; index + 1 < field.size(); index += 2) {
            headers.push_back(
                {field[index].get<std::string>(), field[index + 1].get<std::string>()});
        }
    }
    static void read(const json& field, std::vector<stored_item>& items)
    {
        for (const json& row : field) {
            items.push_back({row.at(0).get<std::string>(), row.at(1).get<std::string>(),
                             row.at(2).get<store_revision>(), row.at(3).get<bool>()});
        }
    }
    void read(const json& field, request_head& head)
    {
        head.method = field.get<std::string>();
        (*this)(head.target);
        (*this)(head.headers);
    }
    template<typename Enumeration>
    requires std::is_enum_v<Enumeration>
    static void read(const json& field, Enumeration& value)
    {
        value = static_cast<Enumeration>(field.get<int>());
    }

    json fields;
    std::size_t next = 1;
    std::size_t body_bytes = 0;
    bool has_body = false;
};

// The fields of each message in wire order; used for encoding and decoding.

template<typename Archive>
void visit_fields(Archive& archive, auto& message)
{
    using type = std::remove_cvref_t<decltype(message)>;
    if constexpr (std::is_same_v<type, hello_message>) {
        archive(message.node), archive(message.node_incarnation), archive(message.address);
        archive(message.open_runs);
    }
    else if constexpr (std::is_same_v<type, reserve_message>) {
        archive(message.id), archive(message.service), archive(message.organisation);
        archive(message.rank), archive(message.is_repeatable), archive(message.retry_share);
        archive(message.accepts_probation);
        archive(message.start_within);
        archive(message.failure_cost), archive(message.expected_run);
        archive(message.body_bytes);
        archive(optional_field{message.late_start_within});
    }
    else if constexpr (std::is_same_v<type, reservation_accepted_message>) {
        archive(message.id), archive(message.is_offer), archive(message.cost);
        archive(message.load);
    }
    else if constexpr (std::is_same_v<type, reservation_declined_message>) {
        archive(message.id), archive(message.reason), archive(message.wait);
        archive(message.load);
    }
    else if constexpr (std::is_same_v<type, run_message>) {
        archive(message.id), archive(message.time_left), archive(message.head);
        archive(message.body), archive(message.fingerprint);
    }
    else if constexpr (std::is_same_v<type, response_message>) {
        archive(message.id), archive(message.status), archive(message.headers);
        archive(message.body), archive(message.elapsed);
        archive(message.load);
    }
    else if constexpr (std::is_same_v<type, failed_message>) {
        archive(message.id), archive(message.kind), archive(message.detail);
        archive(message.load);
    }
    else if constexpr (std::is_same_v<type, quota_request_message>) {
        archive(message.id), archive(message.organisation), archive(message.is_relayed);
    }
    else if constexpr (std::is_same_v<type, quota_reply_message>) {
        archive(message.id), archive(message.is_quota_holder), archive(message.is_admitted);
        archive(message.retry_after);
    }
    else if constexpr (std::is_same_v<type, quota_refund_message>) {
        archive(message.organisation);
    }
    else if constexpr (std::is_same_v<type, follow_message>) {
        archive(message.nonce), archive(message.after), archive(message.configuration);
        archive(message.wait), archive(message.wants_large_update);
        archive(optional_field{message.era});
    }
    else if constexpr (std::is_same_v<type, follow_reply_message>) {
        archive(message.nonce), archive(message.revision), archive(message.is_history_lost);
        archive(message.has_proof), archive(message.proof_age);
        archive(message.configuration_revision), archive(message.configuration);
        archive(message.items);
        archive(optional_field{message.era}), archive(optional_field{message.is_whole});
    }
    else if constexpr (std::is_same_v<type, departure_message>) {
        archive(message.node), archive(message.departures), archive(message.is_stored);
        archive(message.era), archive(message.wait);
    }
    else if constexpr (requires { message.id; }) {
        archive(message.id);
    }
}

/// Builds a document, and gives up at arrays and objects that are nested deeper than in any
/// message: the decoder calls itself for each level, and 16 MB of nested arrays overflowed the
/// stack.
class bounded_document_builder : public nlohmann::detail::json_sax_dom_parser<json> {
public:
    using base = nlohmann::detail::json_sax_dom_parser<json>;
    using base::base;

    bool start_array(std::size_t size)
    {
        return ++this->depth <= max_message_depth && this->base::start_array(size);
    }
    bool end_array()
    {
        --this->depth;
        return this->base::end_array();
    }
    bool start_object(std::size_t size)
    {
        return ++this->depth <= max_message_depth && this->base::start_object(size);
    }
    bool end_object()
    {
        --this->depth;
        return this->base::end_object();
    }

private:
    /// The deepest message has three levels.
    static constexpr std::size_t max_message_depth = 8;

    std::size_t depth = 0;
};

template<std::size_t Index = 0>
link_message read_message(std::size_t kind, field_reader& reader)
{
    if constexpr (Index < std::variant_size_v<link_message>) {
        if (kind != Index) {
            return read_message<Index + 1>(kind, reader);
        }
        std::variant_alternative_t<Index, link_message> message;
        visit_fields(reader, message);
        return message;
    }
    else {
        throw std::out_of_range{"unknown message type " + std::to_string(kind)};
    }
}

} // namespace

encoded_link_message encode_link_parts(const link_message& message)
{
    field_writer writer{message.index()};
    std::visit([&](const auto& typed) { visit_fields(writer, typed); }, message);
    encoded_link_message encoded;
    json::to_cbor(writer.fields, encoded.head);
    encoded.body = std::move(writer.body);
    return encoded;
}

std::optional<link_message> decode_link_head(std::string_view head, std::size_t body_bytes,
                                             const std::string& peer)
{
    try {
        json document;
        bounded_document_builder builder{document};
        if (!json::sax_parse(head.begin(), head.end(), &builder, json::input_format_t::cbor)) {
            return fail("decode message", peer, "the fields are nested too deeply");
        }
        const auto kind = document.at(0).get<std::size_t>();
        field_reader reader{std::move(document), body_bytes};
        link_message message = read_message(kind, reader);
        if (!reader.is_finished()) {
            return fail("decode message", peer,
                        "unexpected fields after those that this version knows");
        }
        return message;
    }
    catch (const std::exception& error) {
        return fail("decode message", peer, error.what());
    }
}

void set_body(link_message& message, shared_bytes body)
{
    std::visit(
        [&](auto& typed) {
            if constexpr (requires { typed.body; }) {
                typed.body = std::move(body);
            }
        },
        message);
}

void append_length(std::string& bytes, std::size_t length)
{
    for (int shift = 24; shift >= 0; shift -= 8) {
        bytes += static_cast<char>((length >> static_cast<unsigned>(shift)) & 0xffU);
    }
}

std::size_t read_length(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t index = 0; index < link_length_bytes; ++index) {
        length = (length << 8U) | static_cast<unsigned char>(bytes[index]);
    }
    return length;
}

std::string encode_link_message(const link_message& message)
{
    const encoded_link_message encoded = encode_link_parts(message);
    std::string bytes;
    append_length(bytes, encoded.head.size());
    return bytes.append(encoded.head).append(encoded.body.str());
}

std::optional<link_message> decode_link_message(std::string_view bytes, const std::string& peer)
{
    if (bytes.size() < link_length_bytes || bytes.size() - link_length_bytes < read_length(bytes)) {
        return fail("decode message", peer, "the message is shorter than its head");
    }
    const std::string_view head = bytes.substr(link_length_bytes, read_length(bytes));
    const std::string_view body = bytes.substr(link_length_bytes + head.size());
    auto message = decode_link_head(head, body.size(), peer);
    if (message && !body.empty()) {
        set_body(*message, std::string{body});
    }
    return message;
}

} // namespace dragonflyroad
