#include "standin/memory_store.hpp"

#include "core/failure.hpp"

namespace dragonflyroad::standin {
namespace {

std::optional<store_value> to_value(const char* step, const store_answer& answer)
{
    if (!answer.replied) {
        return fail(step, "memory_store", "no reply");
    }
    return store_value{answer.body, answer.version};
}

} // namespace

std::optional<store_value> memory_store::read(const std::string& key, time_point)
{
    return to_value("store_read", this->state.read(key));
}

write_result memory_store::write(const std::string& key, const std::string& bytes,
                                 std::uint64_t expected_version, time_point)
{
    const store_answer answer = this->state.write(key, bytes, expected_version);
    if (!answer.replied || (answer.status != 200 && answer.status != 409)) {
        fail("store_write", "memory_store", "no reply");
        return {};
    }
    const bool written = answer.status == 200;
    return {written ? write_outcome::written : write_outcome::conflict, answer.version};
}

std::optional<store_value> memory_store::watch(const std::string& key, std::uint64_t after,
                                               time_point deadline)
{
    return to_value("store_watch", this->state.watch(key, after, deadline));
}

} // namespace dragonflyroad::standin
