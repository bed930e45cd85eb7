#pragma once

#include "core/clock.hpp"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace dragonflyroad {

/// Runs an action when a deadline passes before the guarded scope ends. cpp-httplib's timeouts
/// apply to each wait separately, so that a peer that answers byte by byte could hold a call beyond
/// its deadline.
class deadline_watch {
public:
    /// While it exists, the action may run, once. Its destructor waits for an action that is
    /// running.
    class guard {
    public:
        guard(deadline_watch& watch, time_point deadline, std::function<void()> action);
        guard(const guard&) = delete;
        guard& operator=(const guard&) = delete;
        guard(guard&&) = delete;
        guard& operator=(guard&&) = delete;
        ~guard();

    private:
        deadline_watch& watch;
        std::multimap<time_point, std::function<void()>>::iterator entry;
    };

    deadline_watch();
    deadline_watch(const deadline_watch&) = delete;
    deadline_watch& operator=(const deadline_watch&) = delete;
    deadline_watch(deadline_watch&&) = delete;
    deadline_watch& operator=(deadline_watch&&) = delete;
    /// All guards have ended before.
    ~deadline_watch();

private:
    void run();

    std::mutex mutex;
    std::condition_variable changed;
    std::multimap<time_point, std::function<void()>> entries;
    bool stopping = false;
    std::thread thread;
};

} // namespace dragonflyroad
