#pragma once

#include "adapters/response_reader.hpp"
#include "adapters/transport.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>

#include <httplib.h>

namespace dragonflyroad {

/// One connection to an upstream, for one exchange at a time. cpp-httplib connects and drives the
/// exchange, but a custom stream writes the request and parses the response, because the library
/// (0.11.4) adds headers to the request, percent-decodes header values of a response, accepts some
/// truncated chunked bodies as complete, and does not report whether anything was written.
class upstream_connection : private httplib::ClientImpl {
public:
    upstream_connection(const std::string& host, int port);
    upstream_connection(const upstream_connection&) = delete;
    upstream_connection& operator=(const upstream_connection&) = delete;
    upstream_connection(upstream_connection&&) = delete;
    upstream_connection& operator=(upstream_connection&&) = delete;
    ~upstream_connection() override = default;

    exchange_result exchange(const outbound_request& request, response_receiver& receiver);

    /// Tests whether the upstream accepts a connection: connects, sends nothing and disconnects.
    bool connect(std::chrono::milliseconds timeout);

    /// Aborts the running exchange from another thread. Does not block.
    void interrupt();

    /// Whether the connection can be reused after the last exchange.
    bool is_reusable() const { return this->reusable; }

    /// Whether the connection is open and has nothing to read. An idle connection with unexpected
    /// bytes or an end of stream must not be reused.
    bool has_no_pending_input() const;

private:
    struct running_exchange;

    bool process_socket(const Socket& opened,
                        std::function<bool(httplib::Stream&)> callback) override;
    bool set_descriptor(int descriptor);
    void clear_descriptor();
    exchange_result make_result(const running_exchange& run, bool succeeded) const;

    running_exchange* current = nullptr;
    std::mutex descriptor_mutex;
    int descriptor = -1;
    bool interrupted = false;
    bool reusable = false;
    bool used = false;
};

} // namespace dragonflyroad
