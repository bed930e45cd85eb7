#include "node/loan_call_queue.hpp"

#include <utility>

namespace dragonflyroad {
namespace {

/// One thread for each peer asked in the largest round of loan requests for one organisation.
constexpr std::size_t thread_count = 8;
constexpr std::size_t max_queued = 256;
/// Maximum number of lenders tracked. When it is reached, lenders without outstanding calls are
/// removed. The latest call to each of these failed, and once such a lender has left the ledger, no
/// further call would remove it.
constexpr std::size_t max_lenders = 4'096;

} // namespace

loan_call_queue::loan_call_queue()
{
    for (std::size_t index = 0; index < thread_count; ++index) {
        this->threads.emplace_back([this] { this->run(); });
    }
}

loan_call_queue::~loan_call_queue()
{
    this->stop();
}

bool loan_call_queue::submit(const seat_key& lender, call work)
{
    {
        const std::scoped_lock lock{this->mutex};
        if (this->stopping || this->queue.size() >= max_queued) {
            return false;
        }
        if (this->lenders.size() >= max_lenders) {
            std::erase_if(this->lenders,
                          [](const auto& named) { return named.second.outstanding == 0; });
        }
        lender_state& state = this->lenders[lender];
        if (state.has_failed && state.outstanding > 0) {
            return false;
        }
        ++state.outstanding;
        this->queue.push_back({lender, std::move(work)});
    }
    this->changed.notify_one();
    return true;
}

void loan_call_queue::stop()
{
    {
        const std::scoped_lock lock{this->mutex};
        this->stopping = true;
        this->queue.clear();
    }
    this->changed.notify_all();
    for (std::thread& thread : this->threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void loan_call_queue::run()
{
    std::unique_lock lock{this->mutex};
    while (true) {
        this->changed.wait(lock, [this] { return this->stopping || !this->queue.empty(); });
        if (this->stopping) {
            return;
        }
        const entry next = std::move(this->queue.front());
        this->queue.pop_front();
        lock.unlock();
        const bool is_answered = next.work();
        lock.lock();
        lender_state& state = this->lenders[next.lender];
        state.has_failed = !is_answered;
        if (--state.outstanding == 0 && is_answered) {
            this->lenders.erase(next.lender);
        }
    }
}

} // namespace dragonflyroad
