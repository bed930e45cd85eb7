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

/// Answers the long polls of the nodes that follow this one: immediately when there are changes
/// that the follower lacks, otherwise with the next change or when the poll's wait is over.
class change_feed {
public:
    using reply_function = std::function<void(const link_message&)>;

    change_feed(boost::asio::io_context& loop, const fleet_view& replica);

    void poll(const node_id& from, const follow_message& request, reply_function reply);
    /// Answers the waiting followers for which the view has changes.
    void publish();
    void stop();

private:
    struct follower {
        follow_message request;
        reply_function reply;
        time_point deadline{};
    };

    void answer_expired();
    void arm_timer();

    const fleet_view& view;
    boost::asio::steady_timer timer;
    std::map<node_id, follower> followers;
    time_point next_tick{};
};

} // namespace dragonflyroad
