#include "membership/message_reader.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

using nlohmann::json;

constexpr std::size_t max_text = 255;
/// About 34 years in milliseconds; subtracting such an age from a time point does not overflow.
constexpr std::uint64_t max_age = std::uint64_t{1} << 40U;

} // namespace

void message_reader::reject(const char* why)
{
    if (this->first_error.empty()) {
        this->first_error = why;
    }
}

std::uint64_t message_reader::read_unsigned(const json& value)
{
    if (!value.is_number_unsigned()) {
        this->reject("expected an unsigned integer");
        return 0;
    }
    return value.get<std::uint64_t>();
}

std::uint64_t message_reader::read_unsigned_below(const json& value, std::uint64_t limit)
{
    const std::uint64_t read = this->read_unsigned(value);
    if (read >= limit) {
        this->reject("number out of range");
        return 0;
    }
    return read;
}

bool message_reader::read_bool(const json& value)
{
    return value.is_boolean() ? value.get<bool>() : this->read_unsigned_below(value, 2) == 1;
}

duration message_reader::read_age(const json& value)
{
    return std::chrono::milliseconds{this->read_unsigned_below(value, max_age)};
}

std::string message_reader::read_string(const json& value)
{
    if (!value.is_string()) {
        this->reject("expected a string");
        return {};
    }
    const auto& read = value.get_ref<const std::string&>();
    const bool has_control = std::any_of(read.begin(), read.end(), [](char character) {
        return static_cast<unsigned char>(character) < 0x20U;
    });
    if (read.size() > max_text || has_control) {
        this->reject("string is longer than 255 bytes or has control characters");
        return {};
    }
    return read;
}

std::string message_reader::read_name(const json& value)
{
    std::string read = this->read_string(value);
    if (read.empty()) {
        this->reject("expected a non-empty string");
    }
    return read;
}

bool message_reader::check_array_size(const json& value, std::size_t size)
{
    if (!value.is_array() || value.size() != size) {
        this->reject("entry has the wrong number of values");
        return false;
    }
    return true;
}

bool message_reader::check_pair_array(const json& value)
{
    if (!value.is_array() || value.size() % 2 != 0) {
        this->reject("expected an array of pairs");
        return false;
    }
    return true;
}

std::vector<last_received_entry> message_reader::read_last_received(const json& value)
{
    std::vector<last_received_entry> entries;
    if (this->check_pair_array(value)) {
        for (std::size_t index = 0; index < value.size(); index += 2) {
            entries.push_back(
                {this->read_unsigned(value[index]), this->read_age(value[index + 1])});
        }
    }
    return entries;
}

std::vector<suspicion> message_reader::read_suspicions(const json& value)
{
    std::vector<suspicion> entries;
    if (this->check_pair_array(value)) {
        for (std::size_t index = 0; index < value.size(); index += 2) {
            entries.push_back(
                {this->read_unsigned(value[index]), this->read_unsigned(value[index + 1])});
        }
    }
    return entries;
}

peer_descriptor message_reader::read_descriptor(const json& value)
{
    constexpr std::size_t size = 8;
    peer_descriptor read;
    if (this->check_array_size(value, size)) {
        read.node = node_id{this->read_name(value[0])};
        read.node_incarnation = this->read_unsigned(value[1]);
        read.version = this->read_unsigned(value[2]);
        read.centre = data_centre{this->read_string(value[3])};
        read.datagram_address = this->read_name(value[4]);
        read.rpc_address = this->read_string(value[5]);
        read.admin_address = this->read_string(value[6]);
        read.leaving = this->read_bool(value[7]);
    }
    return read;
}

upstream_record message_reader::read_upstream(const json& value)
{
    constexpr std::size_t size = 6;
    constexpr std::uint64_t max_slots = 1U << 20U;
    constexpr std::uint64_t state_count = 3;
    upstream_record read;
    if (this->check_array_size(value, size)) {
        read.upstream = upstream_id{this->read_name(value[0])};
        read.service = service_name{this->read_name(value[1])};
        read.slots = static_cast<std::uint32_t>(this->read_unsigned_below(value[2], max_slots));
        read.state = static_cast<announced_state>(this->read_unsigned_below(value[3], state_count));
        read.node_incarnation = this->read_unsigned(value[4]);
        read.sequence = this->read_unsigned(value[5]);
    }
    return read;
}

crash_report message_reader::read_crash(const json& value)
{
    crash_report read;
    if (this->check_array_size(value, 3)) {
        read.fingerprint = this->read_unsigned(value[0]);
        read.upstream = upstream_id{this->read_name(value[1])};
        read.age = this->read_age(value[2]);
    }
    return read;
}

ejection_report message_reader::read_ejection(const json& value)
{
    constexpr std::uint64_t verdict_count = 3;
    ejection_report read;
    if (this->check_array_size(value, 4)) {
        read.upstream = upstream_id{this->read_name(value[0])};
        read.reporter = node_id{this->read_name(value[1])};
        read.verdict =
            static_cast<upstream_verdict>(this->read_unsigned_below(value[2], verdict_count));
        read.age = this->read_age(value[3]);
    }
    return read;
}

} // namespace dragonflyroad
