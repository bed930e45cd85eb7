#pragma once

#include "adapters/address.hpp"
#include "adapters/store.hpp"

namespace dragonflyroad {

/// The platform's store over HTTP. Every call opens its own connection: a kept one that the store
/// has closed would turn a write into an `unknown` outcome. Calls from several threads do not wait
/// for each other.
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
