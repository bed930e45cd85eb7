#pragma once

#include "adapters/address.hpp"
#include "adapters/store.hpp"

namespace dragonflyroad {

/// HTTP client of the platform's store. Every call opens its own connection: on a reused connection
/// that the store has closed, a write would end with the outcome `unknown`. Thread-safe; calls do
/// not wait for each other.
class http_store final : public store {
public:
    explicit http_store(ip_address address);

    std::optional<store_value> read(const std::string& key, time_point deadline) override;
    write_result write(const std::string& key, const std::string& bytes,
                       std::uint64_t expected_version, time_point deadline) override;
    std::optional<store_value> watch(const std::string& key, std::uint64_t after,
                                     time_point deadline) override;

private:
    ip_address peer;
};

} // namespace dragonflyroad
