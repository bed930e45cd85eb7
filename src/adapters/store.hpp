#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace dragonflyroad {

/// A value of the platform's key-value service with the version that a later write must name.
struct store_value {
    std::string bytes;
    /// Zero when the key does not exist.
    std::uint64_t version = 0;
};

/// `unknown` means that the reply was lost: the write may have taken effect, or may still do so.
enum class write_outcome { written, conflict, unknown };

struct write_result {
    write_outcome outcome = write_outcome::unknown;
    /// The version after the write; on a conflict the version found.
    std::uint64_t version = 0;
    /// With `unknown`: false when nothing was sent, so that the write cannot take effect. The
    /// reason is in last_failure().
    bool sent = true;
};

/// Largest value that the store accepts, in bytes.
constexpr std::size_t max_store_value_bytes = 1'000'000;

/// The platform's key-value service. Calls block until the deadline at most; a call that returns
/// nothing leaves its reason in last_failure().
class store {
public:
    store() = default;
    store(const store&) = delete;
    store& operator=(const store&) = delete;
    store(store&&) = delete;
    store& operator=(store&&) = delete;
    virtual ~store() = default;

    /// Reads a key; a key that does not exist gives version zero.
    virtual std::optional<store_value> read(const std::string& key, time_point deadline) = 0;

    /// Writes `bytes` (1 MB at most) if the key's version is still `expected_version`.
    virtual write_result write(const std::string& key, const std::string& bytes,
                               std::uint64_t expected_version, time_point deadline) = 0;

    /// Waits for a version of the key above `after`. Returns the value as soon as there is one, or
    /// the unchanged version at the deadline; returns nothing when the store did not answer.
    virtual std::optional<store_value> watch(const std::string& key, std::uint64_t after,
                                             time_point deadline) = 0;
};

} // namespace dragonflyroad
