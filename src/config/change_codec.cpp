#include "config/change_codec.hpp"

#include "config/codec.hpp"
#include "config/field_reader.hpp"
#include "core/failure.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace dragonflyroad {
namespace {

using nlohmann::json;

// Upper bound in bytes for the punctuation, numbers and kind of an encoded change.
constexpr std::size_t change_overhead = 160;

/// Encodes a change as the array [revision, id, kind, name, based_on, body], which is a third
/// shorter than a JSON object with field names. The body of a withdrawal is null.
json encode_change(const change& value)
{
    return json::array({value.revision, value.id, to_text(value.kind), value.name, value.based_on,
                        value.operation == change_operation::put
                            ? json::parse(value.body, nullptr, false)
                            : json(nullptr)});
}

bool is_encoded_change(const json& fields)
{
    return fields.is_array() && fields.size() == 6 && fields[0].is_number_unsigned() &&
           fields[1].is_string() && fields[2].is_string() && fields[3].is_string() &&
           fields[4].is_number_unsigned() && (fields[5].is_object() || fields[5].is_null()) &&
           parse_kind(fields[2].get_ref<const std::string&>()) &&
           is_valid_name(fields[3].get_ref<const std::string&>());
}

std::optional<change> decode_change(const json& fields)
{
    if (!is_encoded_change(fields)) {
        return fail("decode", "change",
                    "expected the array [revision, id, kind, name, based_on, body]");
    }
    change value;
    value.revision = fields[0].get<revision_number>();
    value.id = fields[1].get<std::string>();
    value.kind = *parse_kind(fields[2].get_ref<const std::string&>());
    value.name = fields[3].get<std::string>();
    value.based_on = fields[4].get<revision_number>();
    if (fields[5].is_null()) {
        value.operation = change_operation::withdraw;
        return value;
    }
    const std::optional<object> body = decode_object(value.kind, fields[5]);
    if (!body) {
        return std::nullopt;
    }
    if (name_of(*body) != value.name) {
        return fail("decode", fmt::format("{} {}", to_text(value.kind), value.name),
                    fmt::format("the body names the object {}", name_of(*body)));
    }
    value.body = fields[5].dump();
    return value;
}

std::nullopt_t fail_head(const std::string& detail)
{
    return fail("decode", head_key, detail);
}

bool is_number_list(const json& value, std::size_t size)
{
    return value.is_array() && value.size() == size &&
           std::all_of(value.begin(), value.end(),
                       [](const json& number) { return number.is_number_unsigned(); });
}

bool read_chunks(const json& in_use, const json& free_list, head_record& head)
{
    if (!in_use.is_array() || !free_list.is_array()) {
        return false;
    }
    for (const json& entry : in_use) {
        if (!is_number_list(entry, 3)) {
            return false;
        }
        head.chunks.push_back({entry[0].get<std::uint64_t>(), entry[1].get<revision_number>(),
                               entry[2].get<std::uint64_t>()});
    }
    for (const json& entry : free_list) {
        if (!is_number_list(entry, 2)) {
            return false;
        }
        head.free_chunks.push_back({entry[0].get<std::uint64_t>(), entry[1].get<std::uint64_t>()});
    }
    return true;
}

bool are_consecutive(const head_record& head)
{
    if (head.changes.size() > head.revision) {
        return false;
    }
    revision_number expected = head.compacted_revision();
    for (const change& entry : head.changes) {
        if (entry.revision != ++expected) {
            return false;
        }
    }
    return true;
}

} // namespace

std::string encode_head(const head_record& head)
{
    json chunks = json::array();
    for (const chunk_reference& chunk : head.chunks) {
        chunks.push_back(json::array({chunk.number, chunk.through, chunk.version}));
    }
    json free_chunks = json::array();
    for (const free_chunk& chunk : head.free_chunks) {
        free_chunks.push_back(json::array({chunk.number, chunk.version}));
    }
    return json{{"revision", head.revision},
                {"changes", encode_changes(head.changes)},
                {"chunks", std::move(chunks)},
                {"free_chunks", std::move(free_chunks)}}
        .dump();
}

std::optional<head_record> decode_head(const std::string& text)
{
    if (text.empty()) {
        return head_record{};
    }
    const json fields = json::parse(text, nullptr, false);
    const bool has_fields = fields.is_object() && fields.size() == 4 &&
                            fields.contains("revision") && fields.contains("changes") &&
                            fields.contains("chunks") && fields.contains("free_chunks");
    if (!has_fields || !fields["revision"].is_number_unsigned()) {
        return fail_head(
            "expected an object with the fields revision, changes, chunks and free_chunks");
    }
    head_record head;
    head.revision = fields["revision"].get<revision_number>();
    std::optional<std::vector<change>> changes = decode_changes(fields["changes"]);
    if (!changes) {
        return std::nullopt;
    }
    head.changes = std::move(*changes);
    if (!read_chunks(fields["chunks"], fields["free_chunks"], head)) {
        return fail_head("expected chunks with entries [number, through, version] and free_chunks "
                         "with entries [number, version]");
    }
    if (!are_consecutive(head)) {
        return fail_head("the revisions of the changes are not consecutive");
    }
    const revision_number covered = head.chunks.empty() ? 0 : head.chunks.back().through;
    if (covered != head.compacted_revision()) {
        return fail_head(fmt::format("the chunks cover revisions up to {}; expected {}", covered,
                                     head.compacted_revision()));
    }
    return head;
}

std::string encode_chunk(const chunk_record& chunk)
{
    return json{{"through", chunk.through}, {"entries", encode_changes(chunk.entries)}}.dump();
}

std::optional<chunk_record> decode_chunk(const std::string& text)
{
    const json fields = json::parse(text, nullptr, false);
    if (!fields.is_object() || fields.size() != 2 || !fields.contains("through") ||
        !fields.contains("entries") || !fields["through"].is_number_unsigned()) {
        return fail("decode", "chunk", "expected an object with the fields through and entries");
    }
    std::optional<std::vector<change>> entries = decode_changes(fields["entries"]);
    if (!entries) {
        return std::nullopt;
    }
    return chunk_record{fields["through"].get<revision_number>(), std::move(*entries)};
}

json encode_changes(const std::vector<change>& changes)
{
    json array = json::array();
    for (const change& value : changes) {
        array.push_back(encode_change(value));
    }
    return array;
}

std::optional<std::vector<change>> decode_changes(const json& array)
{
    if (!array.is_array()) {
        return fail("decode", "changes", "expected an array");
    }
    std::vector<change> changes;
    changes.reserve(array.size());
    for (const json& fields : array) {
        std::optional<change> value = decode_change(fields);
        if (!value) {
            return std::nullopt;
        }
        changes.push_back(std::move(*value));
    }
    return changes;
}

std::size_t max_encoded_size(const change& value)
{
    return change_overhead + value.id.size() + value.name.size() + value.body.size();
}

} // namespace dragonflyroad
