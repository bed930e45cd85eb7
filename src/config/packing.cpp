#include "config/packing.hpp"

#include <algorithm>
#include <array>
#include <cstring>

namespace dragonflyroad {
namespace {

constexpr std::size_t digest_bytes = 32;
constexpr std::string_view hex_digits = "0123456789abcdef";
// Keeps packed names below compact_table's limit of 255 bytes. Longer names would be truncated, but
// the codec rejects names of more than 128 bytes.
constexpr std::size_t max_packed_name_bytes = 200;
// First byte of the packed form of a key that is kept as text, because it is not a SHA-256 digest
// in lower-case hexadecimal.
constexpr char text_key_prefix = 't';

bool is_digest(std::string_view text)
{
    return text.size() == digest_bytes * 2 &&
           text.find_first_not_of(hex_digits) == std::string_view::npos;
}

std::string to_hex(std::string_view bytes)
{
    std::string hex;
    hex.reserve(bytes.size() * 2);
    for (const char byte : bytes) {
        hex += hex_digits[static_cast<unsigned char>(byte) >> 4U];
        hex += hex_digits[static_cast<unsigned char>(byte) & 15U];
    }
    return hex;
}

} // namespace

std::string organisation_packing::pack_key(const organisation_id& id)
{
    return id.value.substr(0, max_packed_name_bytes);
}

std::string organisation_packing::pack(const organisation& record)
{
    const std::array<double, 3> numbers{record.rate, record.burst, record.weight};
    std::string bytes(sizeof(numbers), '\0');
    std::memcpy(bytes.data(), numbers.data(), sizeof(numbers));
    return bytes;
}

std::pair<organisation_id, organisation> organisation_packing::unpack(std::string_view key,
                                                                      std::string_view bytes)
{
    std::array<double, 3> numbers{};
    std::memcpy(numbers.data(), bytes.data(), std::min(bytes.size(), sizeof(numbers)));
    organisation_id id{std::string{key}};
    organisation record{id, numbers[0], numbers[1], numbers[2]};
    return {std::move(id), std::move(record)};
}

std::string key_packing::pack_key(const std::string& digest)
{
    if (!is_digest(digest)) {
        std::string text = text_key_prefix + digest.substr(0, max_packed_name_bytes);
        // unpack() tells the two forms apart by their size, so a text must not be as long as a
        // packed digest.
        if (text.size() == digest_bytes) {
            text += '\0';
        }
        return text;
    }
    std::string bytes(digest_bytes, '\0');
    for (std::size_t index = 0; index < digest_bytes; ++index) {
        const std::size_t high = hex_digits.find(digest[index * 2]);
        const std::size_t low = hex_digits.find(digest[index * 2 + 1]);
        bytes[index] = static_cast<char>((high << 4U) | low);
    }
    return bytes;
}

std::string key_packing::pack(const key_record& record)
{
    const char state = record.state == key_state::granted ? 'g' : 'w';
    return state + record.organisation.value.substr(0, max_packed_name_bytes);
}

std::pair<std::string, key_record> key_packing::unpack(std::string_view key, std::string_view bytes)
{
    const bool is_text = key.size() != digest_bytes;
    const std::string_view text = key.substr(1, key.find('\0') - 1);
    std::string digest = is_text ? std::string{text} : to_hex(key);
    const key_state state = bytes.front() == 'g' ? key_state::granted : key_state::withdrawn;
    key_record record{digest, organisation_id{std::string{bytes.substr(1)}}, state};
    return {std::move(digest), std::move(record)};
}

} // namespace dragonflyroad
