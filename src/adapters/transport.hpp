#pragma once

#include "adapters/http_message.hpp"
#include "core/clock.hpp"
#include "core/ids.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace dragonflyroad {

/// How an exchange with an upstream ended.
enum class exchange_outcome {
    complete,
    connect_failed,
    /// No bytes within the idle timeout, or no response by the deadline.
    timed_out,
    /// The connection broke, or the response was truncated.
    broken,
    /// The response is not valid HTTP, or its length is ambiguous.
    invalid_answer,
    /// The receiver of the response, or another thread, cancelled the exchange.
    cancelled
};

struct exchange_result {
    exchange_outcome end = exchange_outcome::connect_failed;
    /// Whether any byte of the request may have reached the upstream.
    bool sent = false;
    /// Whether the exchange ran on a reused connection.
    bool reused = false;
    std::string detail;
};

/// One request to an upstream. The caller owns the body, which must outlive the exchange.
struct outbound_request {
    std::string method;
    std::string target;
    http_headers headers;
    std::string_view body;
    /// Latest time for the first byte of the response.
    time_point deadline;
    std::chrono::milliseconds connect_timeout{1'000};
    /// Maximum time without a byte in either direction.
    std::chrono::milliseconds idle_timeout{5'000};
    /// Restricts reuse to connections with a short idle time; others may be dead without being
    /// closed.
    bool is_unsafe = false;
    /// Opens a new connection even if an idle one is available.
    bool needs_fresh_connection = false;
};

/// Receives a response as it arrives, on the thread that runs the exchange. Each function returns
/// whether to continue the exchange.
class response_receiver {
public:
    response_receiver() = default;
    response_receiver(const response_receiver&) = delete;
    response_receiver& operator=(const response_receiver&) = delete;
    response_receiver(response_receiver&&) = delete;
    response_receiver& operator=(response_receiver&&) = delete;
    virtual ~response_receiver() = default;

    virtual bool on_head(const response_head& head) = 0;
    virtual bool on_body(std::string_view bytes) = 0;
};

/// Cancels an exchange from another thread. The interrupt function is set while the exchange runs.
class cancellation {
public:
    void cancel()
    {
        this->cancelled = true;
        const std::scoped_lock lock{this->mutex};
        if (this->interrupt) {
            this->interrupt();
        }
    }

    bool is_cancelled() const { return this->cancelled; }

    void set_interrupt(std::function<void()> function)
    {
        const std::scoped_lock lock{this->mutex};
        this->interrupt = std::move(function);
    }

private:
    std::atomic<bool> cancelled = false;
    std::mutex mutex;
    std::function<void()> interrupt;
};

/// Sends requests to upstreams. Never sends a request twice.
class transport {
public:
    transport() = default;
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;
    transport(transport&&) = delete;
    transport& operator=(transport&&) = delete;
    virtual ~transport() = default;

    virtual exchange_result exchange(const upstream_id& upstream, const outbound_request& request,
                                     response_receiver& receiver, cancellation& cancel) = 0;

    /// Checks whether the upstream accepts a connection; sends nothing on it.
    virtual bool can_connect(const upstream_id& upstream, std::chrono::milliseconds timeout) = 0;
};

} // namespace dragonflyroad
