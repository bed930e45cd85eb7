#pragma once

#include "membership/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace dragonflyroad {

/// Reads typed values from a decoded datagram. The first value with a wrong type or size
/// invalidates the whole message; error() describes it, and invalid values are read as defaults.
class message_reader {
public:
    bool is_valid() const { return this->first_error.empty(); }
    const std::string& error() const { return this->first_error; }
    void reject(const char* why);

    std::uint64_t read_unsigned(const nlohmann::json& value);
    bool read_bool(const nlohmann::json& value);
    duration read_age(const nlohmann::json& value);
    /// A string of at most 255 bytes without control characters.
    std::string read_string(const nlohmann::json& value);
    /// A non-empty string, otherwise as read_string().
    std::string read_name(const nlohmann::json& value);
    std::vector<last_received_entry> read_last_received(const nlohmann::json& value);
    std::vector<suspicion> read_suspicions(const nlohmann::json& value);
    peer_descriptor read_descriptor(const nlohmann::json& value);
    upstream_record read_upstream(const nlohmann::json& value);
    crash_report read_crash(const nlohmann::json& value);
    ejection_report read_ejection(const nlohmann::json& value);

    template<typename Entry>
    std::vector<Entry> read_list(const nlohmann::json& value,
                                 Entry (message_reader::*read)(const nlohmann::json&))
    {
        std::vector<Entry> entries;
        if (!value.is_array()) {
            this->reject("expected an array");
            return entries;
        }
        entries.reserve(value.size());
        for (const nlohmann::json& item : value) {
            entries.push_back((this->*read)(item));
        }
        return entries;
    }

private:
    bool check_array_size(const nlohmann::json& value, std::size_t size);
    bool check_pair_array(const nlohmann::json& value);
    std::uint64_t read_unsigned_below(const nlohmann::json& value, std::uint64_t limit);

    std::string first_error;
};

} // namespace dragonflyroad
