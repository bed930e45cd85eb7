#include "membership/messages.hpp"

namespace dragonflyroad {

incarnation make_incarnation(std::chrono::system_clock::time_point started, random_engine& random)
{
    constexpr unsigned random_bits = 20;
    const auto since_epoch =
        std::chrono::duration_cast<std::chrono::milliseconds>(started.time_since_epoch());
    const auto milliseconds = static_cast<std::uint64_t>(since_epoch.count());
    return (milliseconds << random_bits) | uniform_index(random, 1U << random_bits);
}

message_body& peer_message::body()
{
    return std::visit([](auto& any) -> message_body& { return any.body; }, this->content);
}

const message_body& peer_message::body() const
{
    return std::visit([](const auto& any) -> const message_body& { return any.body; },
                      this->content);
}

} // namespace dragonflyroad
