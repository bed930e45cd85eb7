#pragma once

#include "adapters/store.hpp"
#include "standin/store_state.hpp"

namespace dragonflyroad::standin {

/// The stand-in store without HTTP, for single-threaded tests.
class memory_store final : public store {
public:
    std::optional<store_value> read(const std::string& key, time_point deadline) override;
    write_result write(const std::string& key, const std::string& bytes,
                       std::uint64_t expected_version, time_point deadline) override;
    std::optional<store_value> watch(const std::string& key, std::uint64_t after,
                                     time_point deadline) override;

    store_state state;
};

} // namespace dragonflyroad::standin
