#pragma once

#include "limits/ledger.hpp"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace dragonflyroad {

/// Runs calls to lenders on a small thread pool. To keep an unresponsive lender from delaying calls
/// to the others, a lender whose latest call failed gets one call at a time, and further calls are
/// rejected.
class loan_call_queue {
public:
    /// Returns whether the lender replied.
    using call = std::function<bool()>;

    loan_call_queue();
    loan_call_queue(const loan_call_queue&) = delete;
    loan_call_queue& operator=(const loan_call_queue&) = delete;
    loan_call_queue(loan_call_queue&&) = delete;
    loan_call_queue& operator=(loan_call_queue&&) = delete;
    ~loan_call_queue();

    /// Queues a call. Returns false if the call will not be made: the queue is full, the lender's
    /// latest call failed and another one is outstanding, or stop() was called.
    bool submit(const seat_key& lender, call work);
    /// Discards the queued calls and waits for the running ones.
    void stop();

private:
    struct lender_state {
        std::size_t outstanding = 0;
        bool has_failed = false;
    };
    struct entry {
        seat_key lender;
        call work;
    };

    void run();

    std::mutex mutex;
    std::condition_variable changed;
    std::deque<entry> queue;
    /// Lenders with outstanding calls or a failed latest call.
    std::map<seat_key, lender_state> lenders;
    bool stopping = false;
    std::vector<std::thread> threads;
};

} // namespace dragonflyroad
