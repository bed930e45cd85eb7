#pragma once

#include "core/clock.hpp"
#include "core/reasons.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace dragonflyroad {

/// Counters and latency histograms of one node. Recording takes no lock.
class metrics {
public:
    metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;
    ~metrics();

    void count_request() { ++this->requests; }
    /// An answer of an upstream that was passed on whole.
    void count_answer(int status);
    void count_refusal(refusal_reason reason);
    void count_retry(retry_reason reason);
    /// An answer that broke off after part of it had gone to the client.
    void count_cut_answer() { ++this->cut_answers; }
    /// A client that went away before its answer was complete.
    void count_lost_client() { ++this->lost_clients; }

    /// Time from the arrival of a request to the end of its answer.
    void record_latency(duration elapsed);
    /// Time that the node itself added, without the upstream's.
    void record_added_latency(duration elapsed);

    /// A value that is read when the metrics are. `kind` is "counter" or "gauge".
    void add_source(std::string name, std::string kind, std::function<double()> read);

    std::uint64_t refused(refusal_reason reason) const;
    std::uint64_t retried(retry_reason reason) const;

    /// All metrics in the Prometheus text format.
    std::string to_prometheus() const;

private:
    struct histograms;
    struct source {
        std::string name;
        std::string kind;
        std::function<double()> read;
    };

    std::atomic<std::uint64_t> requests = 0;
    std::atomic<std::uint64_t> cut_answers = 0;
    std::atomic<std::uint64_t> lost_clients = 0;
    std::array<std::atomic<std::uint64_t>, 6> answers{};
    std::array<std::atomic<std::uint64_t>, refusal_reason_count> refusals{};
    std::array<std::atomic<std::uint64_t>, retry_reason_count> retries{};
    std::unique_ptr<histograms> latencies;
    mutable std::mutex source_mutex;
    std::vector<source> sources;
};

} // namespace dragonflyroad
