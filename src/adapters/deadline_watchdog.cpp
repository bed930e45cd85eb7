#include "adapters/deadline_watchdog.hpp"

#include <utility>

namespace dragonflyroad {

deadline_watchdog::guard::guard(deadline_watchdog& owner, time_point deadline,
                                std::function<void()> action)
    : watchdog(owner)
{
    const std::scoped_lock lock{this->watchdog.mutex};
    this->entry = this->watchdog.entries.emplace(deadline, std::move(action));
    if (this->entry == this->watchdog.entries.begin()) {
        this->watchdog.changed.notify_one();
    }
}

deadline_watchdog::guard::~guard()
{
    const std::scoped_lock lock{this->watchdog.mutex};
    this->watchdog.entries.erase(this->entry);
}

deadline_watchdog::deadline_watchdog() : thread([this] { this->run(); }) {}

deadline_watchdog::~deadline_watchdog()
{
    {
        const std::scoped_lock lock{this->mutex};
        this->stopping = true;
    }
    this->changed.notify_one();
    this->thread.join();
}

void deadline_watchdog::run()
{
    std::unique_lock lock{this->mutex};
    while (!this->stopping) {
        const time_point now = boot_clock::now();
        time_point next = time_point::max();
        for (auto& [deadline, action] : this->entries) {
            if (!action) {
                continue;
            }
            if (deadline > now) {
                next = deadline;
                break;
            }
            std::exchange(action, nullptr)();
        }
        if (next == time_point::max()) {
            this->changed.wait(lock);
        }
        else {
            this->changed.wait_for(lock, next - now);
        }
    }
}

} // namespace dragonflyroad
