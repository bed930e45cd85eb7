#include "adapters/deadline_watch.hpp"

#include <utility>

namespace dragonflyroad {

deadline_watch::guard::guard(deadline_watch& owner, time_point deadline,
                             std::function<void()> action)
    : watch(owner)
{
    const std::scoped_lock lock{this->watch.mutex};
    this->entry = this->watch.entries.emplace(deadline, std::move(action));
    if (this->entry == this->watch.entries.begin()) {
        this->watch.changed.notify_one();
    }
}

deadline_watch::guard::~guard()
{
    const std::scoped_lock lock{this->watch.mutex};
    this->watch.entries.erase(this->entry);
}

deadline_watch::deadline_watch() : thread([this] { this->run(); }) {}

deadline_watch::~deadline_watch()
{
    {
        const std::scoped_lock lock{this->mutex};
        this->stopping = true;
    }
    this->changed.notify_one();
    this->thread.join();
}

void deadline_watch::run()
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
