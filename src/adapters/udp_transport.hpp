#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace dragonflyroad {

/// Totals since the start.
struct udp_counters {
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t send_failures = 0;
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
    /// Received datagrams dropped because they were longer than max_datagram_bytes.
    std::uint64_t too_long = 0;
};

/// A UDP socket with a receiving thread, which uses one fixed buffer. While the handler runs for
/// one datagram, further ones are queued in the socket's receive buffer, whose size the kernel
/// bounds.
class udp_transport {
public:
    /// Called on the receiving thread. `bytes` is valid only during the call; `from` is "ip:port".
    using handler = std::function<void(std::string_view bytes, const std::string& from)>;

    /// Binds to "ip:port" (IPv6 as "[ip]:port"); port 0 selects a free port. Returns nullptr, with
    /// the reason in last_failure(), if the address is invalid or in use.
    static std::unique_ptr<udp_transport> open(const std::string& address, handler on_datagram);

    udp_transport(const udp_transport&) = delete;
    udp_transport& operator=(const udp_transport&) = delete;
    udp_transport(udp_transport&&) = delete;
    udp_transport& operator=(udp_transport&&) = delete;
    /// Stops the receiving thread; the handler is not called afterwards.
    ~udp_transport();

    /// Sends without blocking. Returns false if the address is invalid, the datagram is too long or
    /// the socket's send buffer is full; callers treat this as a lost datagram.
    bool send(const std::string& address, std::string_view bytes);

    /// The address that the socket is bound to.
    const std::string& address() const { return this->bound_address; }
    udp_counters counters() const;

private:
    struct atomic_counters {
        std::atomic<std::uint64_t> sent{0};
        std::atomic<std::uint64_t> sent_bytes{0};
        std::atomic<std::uint64_t> send_failures{0};
        std::atomic<std::uint64_t> received{0};
        std::atomic<std::uint64_t> received_bytes{0};
        std::atomic<std::uint64_t> too_long{0};
    };

    udp_transport(int socket, int stop_event, std::string address, handler on_datagram);
    void receive_loop();
    void receive_one();

    int socket_fd;
    int stop_fd;
    std::string bound_address;
    handler on_datagram;
    atomic_counters totals;
    std::thread receiver;
};

} // namespace dragonflyroad
