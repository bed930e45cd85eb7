#pragma once

#include "adapters/answer_reader.hpp"
#include "adapters/transport.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>

#include <httplib.h>

namespace dragonflyroad {

/// One connection to an upstream, for one exchange at a time. The HTTP library connects and drives
/// the exchange; the socket's bytes pass through a stream of our own, because the library (0.11.4)
/// adds headers to the request, percent-decodes the header values of an answer, accepts some
/// truncated chunked bodies as whole, and does not tell whether anything was written.
class upstream_connection : private httplib::ClientImpl {
public:
    upstream_connection(const std::string& host, int port);
    upstream_connection(const upstream_connection&) = delete;
    upstream_connection& operator=(const upstream_connection&) = delete;
    upstream_connection(upstream_connection&&) = delete;
    upstream_connection& operator=(upstream_connection&&) = delete;
    ~upstream_connection() override = default;

    exchange_result exchange(const outbound_request& request, answer_receiver& receiver);

    /// Connects, if it is not connected yet, and sends nothing.
    bool connect(std::chrono::milliseconds timeout);

    /// Ends the running exchange, from another thread. Does not block.
    void interrupt();

    /// Whether the last exchange left the connection fit for another one.
    bool is_reusable() const { return this->reusable; }

    /// Whether the open connection has nothing to read. Bytes that nobody asked for, or an end of
    /// stream, make it unfit for another request.
    bool is_quiet() const;

private:
    struct running_exchange;

    bool process_socket(const Socket& opened,
                        std::function<bool(httplib::Stream&)> callback) override;
    bool open(int descriptor);
    void release();
    exchange_result conclude(const running_exchange& run, bool succeeded) const;

    running_exchange* current = nullptr;
    std::mutex descriptor_mutex;
    int descriptor = -1;
    bool interrupted = false;
    bool reusable = false;
    bool used = false;
};

} // namespace dragonflyroad
