#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace dragonflyroad::test {

/// A discrete-event loop under manual time. Actions run in the order of their time; those with
/// equal times run in the order in which they were scheduled.
class event_loop {
public:
    time_point now() const { return this->current; }

    void at(time_point when, std::function<void()> action)
    {
        this->events.push({std::max(when, this->current), this->next_order++, std::move(action)});
    }
    void after(duration delay, std::function<void()> action)
    {
        this->at(this->current + delay, std::move(action));
    }

    void run_until(time_point end)
    {
        while (!this->events.empty() && this->events.top().when <= end) {
            // priority_queue::top() is const; moving the action out is safe because it is popped
            // next.
            auto action = std::move(const_cast<event&>(this->events.top()).action);
            this->current = this->events.top().when;
            this->events.pop();
            action();
        }
        this->current = end;
    }

private:
    struct event {
        time_point when;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return std::pair{this->when, this->order} > std::pair{other.when, other.order};
        }
    };

    time_point current{std::chrono::hours{1}};
    std::uint64_t next_order = 0;
    std::priority_queue<event> events;
};

} // namespace dragonflyroad::test
