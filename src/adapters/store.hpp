#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace dragonflyroad {

/// A value in the platform's key-value service, with the version that a conditional write expects.
struct store_value {
    std::string bytes;
    /// Zero if the key does not exist.
    std::uint64_t version = 0;
};

/// `unknown` means that no valid reply arrived: the write may have taken effect, or may still do
/// so.
enum class write_outcome { written, conflict, unknown };

struct write_result {
    write_outcome outcome = write_outcome::unknown;
    /// The version after the write; on a conflict, the version in the store.
    std::uint64_t version = 0;
    /// With `unknown`, false if nothing was sent, so that the write cannot take effect. The reason
    /// is in last_failure().
    bool sent = true;
};

/// Maximum size of a value in the store, in bytes.
constexpr std::size_t max_store_value_bytes = 1'000'000;

/// Interface to the platform's key-value service. Calls block until the deadline at most. If a call
/// returns nothing, the reason is in last_failure().
class store {
public:
    store() = default;
    store(const store&) = delete;
    store& operator=(const store&) = delete;
    store(store&&) = delete;
    store& operator=(store&&) = delete;
    virtual ~store() = default;

    /// Reads a key. Returns version zero if the key does not exist.
    virtual std::optional<store_value> read(const std::string& key, time_point deadline) = 0;

    /// Writes `bytes` (1 MB at most) if the key's version is still `expected_version`.
    virtual write_result write(const std::string& key, const std::string& bytes,
                               std::uint64_t expected_version, time_point deadline) = 0;

    /// Waits for a version of the key above `after`. Returns the value as soon as there is one, or
    /// the unchanged version at the deadline. Returns nothing if the store did not respond.
    virtual std::optional<store_value> watch(const std::string& key, std::uint64_t after,
                                             time_point deadline) = 0;
};

} // namespace dragonflyroad
