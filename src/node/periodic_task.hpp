#pragma once

#include "core/clock.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace dragonflyroad {

/// Calls a function repeatedly on a dedicated thread, with a pause between calls, until stopped.
class periodic_task {
public:
    /// The function returns how long to wait before its next call.
    explicit periodic_task(std::function<duration()> work);
    periodic_task(const periodic_task&) = delete;
    periodic_task& operator=(const periodic_task&) = delete;
    periodic_task(periodic_task&&) = delete;
    periodic_task& operator=(periodic_task&&) = delete;
    ~periodic_task();

    /// Ends the current pause early, or skips the next one if the function is running.
    void wake();

    /// Waits for the current call to return; the function is not called again.
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
