#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflyroad {

/// Lower-case hexadecimal SHA-256. Keys are stored, sent and logged only in this form.
std::string sha256_hex(std::string_view text);

/// HMAC-SHA256 of `text` under `secret`, 32 raw bytes.
std::string hmac_sha256(std::string_view secret, std::string_view text);

/// Compares two signatures. The run time does not depend on where they differ.
bool equal_in_constant_time(std::string_view left, std::string_view right);

/// A 64-bit hash whose value is the same in every process and version, for rendezvous hashing and
/// request fingerprints. Not cryptographic.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

} // namespace dragonflyroad
