#include "mesh/change_feed.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

/// Upper bound on the wait that a follower's poll may request.
constexpr std::chrono::milliseconds max_wait{2'000};

/// Interval at which polls are checked for the end of their wait.
constexpr std::chrono::milliseconds tick_interval{100};

} // namespace

change_feed::change_feed(boost::asio::io_context& loop, const fleet_view& replica)
    : view(replica), timer(loop)
{
}

void change_feed::poll(const node_id& from, const follow_message& request, reply_function reply)
{
    if (this->view.has_changes_for(request)) {
        reply(this->view.make_follow_reply(request));
        return;
    }
    const time_point until =
        boot_clock::now() + std::clamp(request.wait, std::chrono::milliseconds{0}, max_wait);
    this->followers[from] = {request, std::move(reply), until};
    this->arm_timer();
}

void change_feed::publish()
{
    for (const auto& [node, waiting] : std::map{this->followers}) {
        if (this->view.has_changes_for(waiting.request)) {
            this->followers.erase(node);
            waiting.reply(this->view.make_follow_reply(waiting.request));
        }
    }
}

void change_feed::answer_expired()
{
    const time_point now = boot_clock::now();
    for (const auto& [node, waiting] : std::map{this->followers}) {
        if (now >= waiting.deadline) {
            this->followers.erase(node);
            waiting.reply(this->view.make_follow_reply(waiting.request));
        }
    }
}

void change_feed::arm_timer()
{
    if (this->next_tick != time_point{}) {
        return;
    }
    this->next_tick = boot_clock::now() + tick_interval;
    this->timer.expires_after(tick_interval);
    this->timer.async_wait([this](const boost::system::error_code& error) {
        if (error) {
            return;
        }
        this->next_tick = {};
        this->answer_expired();
        if (!this->followers.empty()) {
            this->arm_timer();
        }
    });
}

void change_feed::stop()
{
    this->timer.cancel();
    this->followers.clear();
}

} // namespace dragonflyroad
