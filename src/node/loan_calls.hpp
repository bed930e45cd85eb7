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

/// Runs calls to lenders on a few threads, so that a lender that does not answer does not delay the
/// others: after a failed call, one call at a time goes to its lender and further ones fail at
/// once.
class loan_calls {
public:
    /// Returns whether the lender answered.
    using call = std::function<bool()>;

    loan_calls();
    loan_calls(const loan_calls&) = delete;
    loan_calls& operator=(const loan_calls&) = delete;
    loan_calls(loan_calls&&) = delete;
    loan_calls& operator=(loan_calls&&) = delete;
    ~loan_calls();

    /// False when the call will not be made: the queue is full, the lender is not answering or
    /// stop() was called.
    bool submit(const seat_key& lender, call work);
    /// Waits for the calls under way and drops those that have not begun.
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
    /// Lenders with calls outstanding or whose latest call failed.
    std::map<seat_key, lender_state> lenders;
    bool stopping = false;
    std::vector<std::thread> threads;
};

} // namespace dragonflyroad
