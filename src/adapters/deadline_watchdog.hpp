#pragma once

#include "core/clock.hpp"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace dragonflyroad {

/// Runs an action if a deadline passes before the guarded scope ends. Needed because cpp-httplib's
/// timeouts apply to each wait separately: a peer that responds byte by byte could delay a call
/// beyond its deadline.
class deadline_watchdog {
public:
    /// Guards a scope: the action runs at most once while the guard exists. The destructor waits
    /// for an action that is running.
    class guard {
    public:
        guard(deadline_watchdog& watchdog, time_point deadline, std::function<void()> action);
        guard(const guard&) = delete;
        guard& operator=(const guard&) = delete;
        guard(guard&&) = delete;
        guard& operator=(guard&&) = delete;
        ~guard();

    private:
        deadline_watchdog& watchdog;
        std::multimap<time_point, std::function<void()>>::iterator entry;
    };

    deadline_watchdog();
    deadline_watchdog(const deadline_watchdog&) = delete;
    deadline_watchdog& operator=(const deadline_watchdog&) = delete;
    deadline_watchdog(deadline_watchdog&&) = delete;
    deadline_watchdog& operator=(deadline_watchdog&&) = delete;
    /// All guards must have been destroyed before.
    ~deadline_watchdog();

private:
    void run();

    std::mutex mutex;
    std::condition_variable changed;
    std::multimap<time_point, std::function<void()>> entries;
    bool stopping = false;
    std::thread thread;
};

} // namespace dragonflyroad
