#include "membership/message_reader.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

using nlohmann::json;

constexpr std::size_t max_text = 255;
/// 34 years in milliseconds: a time point less such an age is still representable.
constexpr std::uint64_t max_age = std::uint64_t{1} << 40U;

} // namespace

void message_reader::refuse(const char* why)
{
    if (this->problem.empty()) {
        this->problem = why;
    }
}

std::uint64_t message_reader::number(const json& value)
{
    if (!value.is_number_unsigned()) {
        this->refuse("not an unsigned number");
        return 0;
    }
    return value.get<std::uint64_t>();
}

std::uint64_t message_reader::number_below(const json& value, std::uint64_t limit)
{
    const std::uint64_t read = this->number(value);
    if (read >= limit) {
        this->refuse("number too large");
        return 0;
    }
    return read;
}

bool message_reader::flag(const json& value)
{
    return value.is_boolean() ? value.get<bool>() : this->number_below(value, 2) == 1;
}

duration message_reader::age(const json& value)
{
    return std::chrono::milliseconds{this->number_below(value, max_age)};
}

std::string message_reader::text(const json& value)
{
    if (!value.is_string()) {
        this->refuse("not a text");
        return {};
    }
    const auto& read = value.get_ref<const std::string&>();
    const bool has_control = std::any_of(read.begin(), read.end(), [](char character) {
        return static_cast<unsigned char>(character) < 0x20U;
    });
    if (read.size() > max_text || has_control) {
        this->refuse("text too long or with control characters");
        return {};
    }
    return read;
}

std::string message_reader::name(const json& value)
{
    std::string read = this->text(value);
    if (read.empty()) {
        this->refuse("empty name");
    }
    return read;
}

bool message_reader::is_tuple(const json& value, std::size_t size)
{
    if (!value.is_array() || value.size() != size) {
        this->refuse("wrong number of values in an entry");
        return false;
    }
    return true;
}

bool message_reader::is_pair_list(const json& value)
{
    if (!value.is_array() || value.size() % 2 != 0) {
        this->refuse("not a list of pairs");
        return false;
    }
    return true;
}

std::vector<heard_entry> message_reader::heard(const json& value)
{
    std::vector<heard_entry> entries;
    if (this->is_pair_list(value)) {
        for (std::size_t index = 0; index < value.size(); index += 2) {
            entries.push_back({this->number(value[index]), this->age(value[index + 1])});
        }
    }
    return entries;
}

std::vector<suspicion> message_reader::suspicions(const json& value)
{
    std::vector<suspicion> entries;
    if (this->is_pair_list(value)) {
        for (std::size_t index = 0; index < value.size(); index += 2) {
            entries.push_back({this->number(value[index]), this->number(value[index + 1])});
        }
    }
    return entries;
}

peer_card message_reader::card(const json& value)
{
    constexpr std::size_t size = 8;
    peer_card read;
    if (this->is_tuple(value, size)) {
        read.node = node_id{this->name(value[0])};
        read.run = this->number(value[1]);
        read.version = this->number(value[2]);
        read.centre = data_centre{this->text(value[3])};
        read.datagram_address = this->name(value[4]);
        read.rpc_address = this->text(value[5]);
        read.admin_address = this->text(value[6]);
        read.leaving = this->flag(value[7]);
    }
    return read;
}

upstream_record message_reader::upstream(const json& value)
{
    constexpr std::size_t size = 6;
    constexpr std::uint64_t max_slots = 1U << 20U;
    constexpr std::uint64_t state_count = 3;
    upstream_record read;
    if (this->is_tuple(value, size)) {
        read.upstream = upstream_id{this->name(value[0])};
        read.service = service_name{this->name(value[1])};
        read.slots = static_cast<std::uint32_t>(this->number_below(value[2], max_slots));
        read.state = static_cast<announced_state>(this->number_below(value[3], state_count));
        read.run = this->number(value[4]);
        read.sequence = this->number(value[5]);
    }
    return read;
}

crash_report message_reader::crash(const json& value)
{
    crash_report read;
    if (this->is_tuple(value, 3)) {
        read.fingerprint = this->number(value[0]);
        read.upstream = upstream_id{this->name(value[1])};
        read.age = this->age(value[2]);
    }
    return read;
}

ejection_report message_reader::ejection(const json& value)
{
    constexpr std::uint64_t verdict_count = 3;
    ejection_report read;
    if (this->is_tuple(value, 4)) {
        read.upstream = upstream_id{this->name(value[0])};
        read.reporter = node_id{this->name(value[1])};
        read.verdict = static_cast<upstream_verdict>(this->number_below(value[2], verdict_count));
        read.age = this->age(value[3]);
    }
    return read;
}

} // namespace dragonflyroad
