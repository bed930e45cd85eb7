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

/// Counters and latency histograms of one node. Thread-safe; recording takes no lock.
class metrics {
public:
    metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;
    ~metrics();

    void count_request() { ++this->requests; }
    /// Counts a response of an upstream that was relayed completely.
    void count_response(int status);
    void count_refusal(refusal_reason reason);
    void count_retry(retry_reason reason);
    /// Counts a response that ended early after part of it was sent to the client.
    void count_truncated_response() { ++this->truncated_responses; }
    /// Counts a client that disconnected before its response was complete.
    void count_client_disconnect() { ++this->client_disconnects; }

    /// Records the time from the arrival of a request to the end of its response.
    void record_latency(duration elapsed);
    /// Records the latency that the node itself added, without the upstream's time.
    void record_added_latency(duration elapsed);

    /// Registers a metric whose value `read` returns at each export. `kind` is "counter" or
    /// "gauge".
    void add_metric_callback(std::string name, std::string kind, std::function<double()> read);

    std::uint64_t refused(refusal_reason reason) const;
    std::uint64_t retried(retry_reason reason) const;

    /// Exports all metrics in the Prometheus text format.
    std::string to_prometheus() const;

private:
    struct histograms;
    struct callback_metric {
        std::string name;
        std::string kind;
        std::function<double()> read;
    };

    std::atomic<std::uint64_t> requests = 0;
    std::atomic<std::uint64_t> truncated_responses = 0;
    std::atomic<std::uint64_t> client_disconnects = 0;
    std::array<std::atomic<std::uint64_t>, 6> responses{};
    std::array<std::atomic<std::uint64_t>, refusal_reason_count> refusals{};
    std::array<std::atomic<std::uint64_t>, retry_reason_count> retries{};
    std::unique_ptr<histograms> latencies;
    mutable std::mutex callback_mutex;
    std::vector<callback_metric> callback_metrics;
};

} // namespace dragonflyroad
