#pragma once

#include "membership/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace dragonflyroad {

/// Reads typed values out of a decoded datagram. The first value of a wrong type or size makes the
/// whole message invalid; later reads give default values.
class message_reader {
public:
    bool is_valid() const { return this->problem.empty(); }
    const std::string& reason() const { return this->problem; }
    void refuse(const char* why);

    std::uint64_t number(const nlohmann::json& value);
    bool flag(const nlohmann::json& value);
    duration age(const nlohmann::json& value);
    /// A text without control characters, 255 bytes at most.
    std::string text(const nlohmann::json& value);
    /// A text that is not empty.
    std::string name(const nlohmann::json& value);
    std::vector<heard_entry> heard(const nlohmann::json& value);
    std::vector<suspicion> suspicions(const nlohmann::json& value);
    peer_card card(const nlohmann::json& value);
    upstream_record upstream(const nlohmann::json& value);
    crash_report crash(const nlohmann::json& value);
    ejection_report ejection(const nlohmann::json& value);

    template<typename Entry>
    std::vector<Entry> list(const nlohmann::json& value,
                            Entry (message_reader::*read)(const nlohmann::json&))
    {
        std::vector<Entry> entries;
        if (!value.is_array()) {
            this->refuse("not a list");
            return entries;
        }
        entries.reserve(value.size());
        for (const nlohmann::json& item : value) {
            entries.push_back((this->*read)(item));
        }
        return entries;
    }

private:
    bool is_tuple(const nlohmann::json& value, std::size_t size);
    bool is_pair_list(const nlohmann::json& value);
    std::uint64_t number_below(const nlohmann::json& value, std::uint64_t limit);

    std::string problem;
};

} // namespace dragonflyroad
