#include "node/periodic_task.hpp"

#include <utility>

namespace dragonflyroad {

periodic_task::periodic_task(std::function<duration()> function)
    : work(std::move(function)), thread([this] { this->run(); })
{
}

periodic_task::~periodic_task()
{
    this->stop();
}

void periodic_task::wake()
{
    {
        const std::scoped_lock lock{this->mutex};
        this->woken = true;
    }
    this->changed.notify_one();
}

void periodic_task::stop()
{
    {
        const std::scoped_lock lock{this->mutex};
        this->stopping = true;
    }
    this->changed.notify_one();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void periodic_task::run()
{
    std::unique_lock lock{this->mutex};
    while (!this->stopping) {
        lock.unlock();
        const duration pause = this->work();
        lock.lock();
        this->changed.wait_for(lock, pause, [this] { return this->stopping || this->woken; });
        this->woken = false;
    }
}

} // namespace dragonflyroad
