#include "standin/memory_store.hpp"

#include "core/failure.hpp"

namespace dragonflyroad::standin {
namespace {

std::optional<store_value> to_value(const char* step, const store_response& response)
{
    if (!response.replied) {
        return fail(step, "memory_store", "the stand-in store closed the call without a reply");
    }
    return store_value{response.body, response.version};
}

} // namespace

std::optional<store_value> memory_store::read(const std::string& key, time_point)
{
    return to_value("store_read", this->state.read(key));
}

write_result memory_store::write(const std::string& key, const std::string& bytes,
                                 std::uint64_t expected_version, time_point)
{
    const store_response response = this->state.write(key, bytes, expected_version);
    if (!response.replied || (response.status != 200 && response.status != 409)) {
        fail("store_write", "memory_store",
             "the stand-in store gave no reply or an unexpected status");
        return {};
    }
    const bool written = response.status == 200;
    return {written ? write_outcome::written : write_outcome::conflict, response.version};
}

std::optional<store_value> memory_store::watch(const std::string& key, std::uint64_t after,
                                               time_point deadline)
{
    return to_value("store_watch", this->state.watch(key, after, deadline));
}

} // namespace dragonflyroad::standin
