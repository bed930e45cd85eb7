#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "mesh/fleet_view.hpp"
#include "mesh/link_message.hpp"

#include <functional>
#include <map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace dragonflyroad {

/// Answers the nodes that follow this one: at once when it has news for them, otherwise as soon as
/// it has some or when the question's time is over.
class change_feed {
public:
    using reply_function = std::function<void(const link_message&)>;

    change_feed(boost::asio::io_context& loop, const fleet_view& known);

    void ask(const node_id& from, const follow_message& question, reply_function reply);
    /// Answers whoever waits for what has just changed.
    void publish();
    void stop();

private:
    struct follower {
        follow_message question;
        reply_function reply;
        time_point answer_by{};
    };

    void answer_due();
    void arm_timer();

    const fleet_view& view;
    boost::asio::steady_timer timer;
    std::map<node_id, follower> followers;
    time_point next_tick{};
};

} // namespace dragonflyroad
