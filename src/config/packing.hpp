#pragma once

#include "config/records.hpp"

#include <string>
#include <string_view>
#include <utility>

namespace dragonflyroad {

/// Packs organisations for a compact_table. Key: the identifier. Record: rate, burst and weight.
struct organisation_packing {
    using key_type = organisation_id;
    using record_type = organisation;

    static std::string pack_key(const organisation_id& id);
    static std::string pack(const organisation& record);
    static std::pair<organisation_id, organisation> unpack(std::string_view key,
                                                           std::string_view bytes);
};

/// Packs keys for a compact_table. Key: the digest as 32 bytes instead of 64 hexadecimal digits.
/// Record: the state and the organisation.
struct key_packing {
    using key_type = std::string;
    using record_type = key_record;

    static std::string pack_key(const std::string& digest);
    static std::string pack(const key_record& record);
    static std::pair<std::string, key_record> unpack(std::string_view key, std::string_view bytes);
};

} // namespace dragonflyroad
