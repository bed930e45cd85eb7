#include "config/snapshot_codec.hpp"

#include "config/codec.hpp"
#include "config/object.hpp"
#include "core/failure.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace dragonflyroad {
namespace {

using nlohmann::json;

/// Encodes an object as [kind, body]. Organisations and keys have shorter forms, because there are
/// a million of each: ["o", id, rate, burst, weight] and
/// ["k", digest, organisation, withdrawn as 0 or 1].
json encode_entry(const object& value)
{
    if (const auto* item = std::get_if<organisation>(&value)) {
        return json::array({"o", item->id.value, item->rate, item->burst, item->weight});
    }
    if (const auto* item = std::get_if<key_record>(&value)) {
        return json::array({"k", item->digest, item->organisation.value,
                            item->state == key_state::withdrawn ? 1 : 0});
    }
    return json::array({to_text(kind_of(value)), encode_object(value)});
}

/// Groups encoded entries into parts of limited size.
class part_writer {
public:
    part_writer(revision_number revision, std::size_t part_bytes,
                const std::function<void(const snapshot_part&)>& receiver)
        : limit(part_bytes), emit(receiver)
    {
        this->part.revision = revision;
    }

    void add(const object& value)
    {
        const std::string entry = encode_entry(value).dump();
        if (!this->part.text.empty() && this->part.text.size() + entry.size() > this->limit) {
            this->flush(false);
        }
        this->part.text += this->part.text.empty() ? '[' : ',';
        this->part.text += entry;
    }

    void flush(bool last)
    {
        this->part.text += this->part.text.empty() ? "[]" : "]";
        this->part.last = last;
        this->emit(this->part);
        ++this->part.index;
        this->part.text.clear();
    }

private:
    std::size_t limit;
    const std::function<void(const snapshot_part&)>& emit;
    snapshot_part part;
};

/// Decodes an entry. The short arrays are expanded to full fields, which decode_object() validates.
std::optional<object> decode_entry(const json& entry)
{
    const bool is_tagged = entry.is_array() && entry.size() >= 2 && entry[0].is_string();
    const std::string tag = is_tagged ? entry[0].get<std::string>() : "";
    if (tag == "o" && entry.size() == 5) {
        return decode_object(
            object_kind::organisation,
            json{{"id", entry[1]}, {"rate", entry[2]}, {"burst", entry[3]}, {"weight", entry[4]}});
    }
    if (tag == "k" && entry.size() == 4 && (entry[3] == 0 || entry[3] == 1)) {
        return decode_object(object_kind::key,
                             json{{"digest", entry[1]},
                                  {"organisation", entry[2]},
                                  {"state", entry[3] == 1 ? "withdrawn" : "granted"}});
    }
    const auto kind = parse_kind(tag);
    if (!kind || entry.size() != 2) {
        return fail("decode", "snapshot",
                    "expected an entry of [kind, body], an organisation or a key");
    }
    return decode_object(*kind, entry[1]);
}

} // namespace

void encode_snapshot(const configuration& config, std::size_t part_bytes,
                     const std::function<void(const snapshot_part&)>& emit)
{
    part_writer writer{config.revision, part_bytes, emit};
    for (const auto& [name, value] : config.profiles) {
        writer.add(value);
    }
    for (const auto& [name, value] : config.services) {
        writer.add(value);
    }
    for (const auto& [name, value] : config.routes) {
        writer.add(value);
    }
    for (const auto& [id, value] : config.organisations) {
        writer.add(value);
    }
    for (const auto& [digest, value] : config.keys) {
        writer.add(value);
    }
    writer.flush(true);
}

bool snapshot_builder::add(const snapshot_part& part)
{
    const bool is_next = part.index == this->next_index && !this->complete &&
                         (part.index == 0 || part.revision == this->config.revision);
    if (!is_next) {
        fail("decode", "snapshot",
             fmt::format("part {} of revision {} cannot follow {} parts of revision {}", part.index,
                         part.revision, this->next_index, this->config.revision));
    }
    if (!is_next || !this->add_entries(part.text)) {
        *this = {};
        return false;
    }
    this->config.revision = part.revision;
    this->complete = part.last;
    ++this->next_index;
    return true;
}

bool snapshot_builder::add_entries(const std::string& text)
{
    const json entries = json::parse(text, nullptr, false);
    if (!entries.is_array()) {
        fail("decode", "snapshot", "a part is not a JSON array");
        return false;
    }
    return std::all_of(entries.begin(), entries.end(), [this](const json& entry) {
        const std::optional<object> value = decode_entry(entry);
        if (value) {
            put_object(this->config, *value);
        }
        return value.has_value();
    });
}

std::optional<configuration> snapshot_builder::finish()
{
    if (!this->complete) {
        return fail("decode", "snapshot", "the last part is missing");
    }
    configuration result = std::move(this->config);
    *this = {};
    return result;
}

} // namespace dragonflyroad
