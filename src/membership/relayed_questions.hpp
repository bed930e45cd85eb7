#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <deque>
#include <vector>

namespace dragonflyroad {

/// A peer that asked whether a third node can be heard.
struct relayed_question {
    node_id asker;
    /// The nonce of the ping that asked.
    std::uint64_t echo = 0;
    incarnation about = 0;
    time_point expires;
};

/// Questions of peers about nodes that this node has not heard recently. They are answered when the
/// node acknowledges a ping sent on the asker's behalf. Bounded: the oldest is dropped.
class relayed_questions {
public:
    void add(relayed_question question);
    /// Removes and gives the questions about a run that have not expired.
    std::vector<relayed_question> take(incarnation about, time_point now);

private:
    std::deque<relayed_question> waiting;
};

} // namespace dragonflyroad
