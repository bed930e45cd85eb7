#include "mesh/change_feed.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

/// Longest time that a question is kept, whatever it asks for.
constexpr std::chrono::milliseconds longest_wait{2'000};

/// How often the waiting questions are looked at.
constexpr std::chrono::milliseconds tick_interval{100};

} // namespace

change_feed::change_feed(boost::asio::io_context& loop, const fleet_view& known)
    : view(known), timer(loop)
{
}

void change_feed::ask(const node_id& from, const follow_message& question, reply_function reply)
{
    if (this->view.has_news_for(question)) {
        reply(this->view.news_for(question));
        return;
    }
    const time_point until =
        boot_clock::now() + std::clamp(question.wait, std::chrono::milliseconds{0}, longest_wait);
    this->followers[from] = {question, std::move(reply), until};
    this->arm_timer();
}

void change_feed::publish()
{
    for (const auto& [node, waiting] : std::map{this->followers}) {
        if (this->view.has_news_for(waiting.question)) {
            this->followers.erase(node);
            waiting.reply(this->view.news_for(waiting.question));
        }
    }
}

void change_feed::answer_due()
{
    const time_point now = boot_clock::now();
    for (const auto& [node, waiting] : std::map{this->followers}) {
        if (now >= waiting.answer_by) {
            this->followers.erase(node);
            waiting.reply(this->view.news_for(waiting.question));
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
        this->answer_due();
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
