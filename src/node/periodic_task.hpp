#pragma once

#include "core/clock.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace dragonflyroad {

/// Runs a function on a thread of its own again and again, with a pause between the runs, until it
/// is stopped.
class periodic_task {
public:
    /// The function returns how long to wait before it runs again.
    explicit periodic_task(std::function<duration()> work);
    periodic_task(const periodic_task&) = delete;
    periodic_task& operator=(const periodic_task&) = delete;
    periodic_task(periodic_task&&) = delete;
    periodic_task& operator=(periodic_task&&) = delete;
    ~periodic_task();

    /// Ends the pause early.
    void wake();

    /// Waits for the current run to end; there is none after it.
    void stop();

private:
    void run();

    std::function<duration()> work;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    bool woken = false;
    std::thread thread;
};

} // namespace dragonflyroad
