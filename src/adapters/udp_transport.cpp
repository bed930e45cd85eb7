#include "adapters/udp_transport.hpp"

#include "core/failure.hpp"
#include "membership/messages.hpp"

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <system_error>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dragonflyroad {
namespace {

/// Space for about 4,000 datagrams while the handler is busy.
constexpr int requested_receive_buffer_bytes = 1 << 20;

struct socket_address {
    sockaddr_storage storage{};
    socklen_t length = 0;

    sockaddr* get() { return reinterpret_cast<sockaddr*>(&this->storage); }
    const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&this->storage); }
};

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return port;
}

std::optional<socket_address> parse_socket_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    const auto port = colon == std::string::npos
                          ? std::nullopt
                          : parse_port(std::string_view{text}.substr(colon + 1));
    if (!port) {
        return std::nullopt;
    }
    std::string host = text.substr(0, colon);
    socket_address parsed;
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        auto* const address = reinterpret_cast<sockaddr_in6*>(&parsed.storage);
        address->sin6_family = AF_INET6;
        address->sin6_port = htons(*port);
        parsed.length = sizeof(sockaddr_in6);
        return inet_pton(AF_INET6, host.c_str(), &address->sin6_addr) == 1 ? std::optional{parsed}
                                                                           : std::nullopt;
    }
    auto* const address = reinterpret_cast<sockaddr_in*>(&parsed.storage);
    address->sin_family = AF_INET;
    address->sin_port = htons(*port);
    parsed.length = sizeof(sockaddr_in);
    return inet_pton(AF_INET, host.c_str(), &address->sin_addr) == 1 ? std::optional{parsed}
                                                                     : std::nullopt;
}

std::string to_text(const socket_address& address)
{
    std::array<char, INET6_ADDRSTRLEN> host{};
    if (address.storage.ss_family == AF_INET6) {
        const auto* const ipv6 = reinterpret_cast<const sockaddr_in6*>(&address.storage);
        inet_ntop(AF_INET6, &ipv6->sin6_addr, host.data(), host.size());
        return "[" + std::string{host.data()} + "]:" + std::to_string(ntohs(ipv6->sin6_port));
    }
    const auto* const ipv4 = reinterpret_cast<const sockaddr_in*>(&address.storage);
    inet_ntop(AF_INET, &ipv4->sin_addr, host.data(), host.size());
    return std::string{host.data()} + ":" + std::to_string(ntohs(ipv4->sin_port));
}

std::string system_error()
{
    return std::generic_category().message(errno);
}

} // namespace

std::unique_ptr<udp_transport> udp_transport::open(const std::string& address, handler on_datagram)
{
    const auto fail_open = [&address](std::string detail) {
        fail("udp_bind", address, std::move(detail));
        return std::unique_ptr<udp_transport>{};
    };
    const std::optional<socket_address> requested = parse_socket_address(address);
    if (!requested) {
        return fail_open("not a numeric ip:port");
    }
    const int socket_fd =
        ::socket(requested->storage.ss_family, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (socket_fd < 0) {
        return fail_open(system_error());
    }
    ::setsockopt(socket_fd, SOL_SOCKET, SO_RCVBUF, &requested_receive_buffer_bytes,
                 sizeof(requested_receive_buffer_bytes));
    socket_address bound;
    bound.length = sizeof(bound.storage);
    const int stop_fd = ::eventfd(0, EFD_CLOEXEC);
    if (stop_fd < 0 || ::bind(socket_fd, requested->get(), requested->length) != 0 ||
        ::getsockname(socket_fd, bound.get(), &bound.length) != 0) {
        const std::string reason = system_error();
        ::close(socket_fd);
        if (stop_fd >= 0) {
            ::close(stop_fd);
        }
        return fail_open(reason);
    }
    return std::unique_ptr<udp_transport>{
        new udp_transport{socket_fd, stop_fd, to_text(bound), std::move(on_datagram)}};
}

udp_transport::udp_transport(int socket, int stop_event, std::string address, handler receive)
    : socket_fd(socket),
      stop_fd(stop_event),
      bound_address(std::move(address)),
      on_datagram(std::move(receive)),
      receiver([this] { this->receive_loop(); })
{
}

udp_transport::~udp_transport()
{
    const std::uint64_t one = 1;
    while (::write(this->stop_fd, &one, sizeof(one)) < 0 && errno == EINTR) {
    }
    this->receiver.join();
    ::close(this->socket_fd);
    ::close(this->stop_fd);
}

bool udp_transport::send(const std::string& address, std::string_view bytes)
{
    const std::optional<socket_address> target = parse_socket_address(address);
    if (!target || bytes.size() > max_datagram_bytes ||
        ::sendto(this->socket_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL, target->get(),
                 target->length) != static_cast<ssize_t>(bytes.size())) {
        ++this->totals.send_failures;
        return false;
    }
    ++this->totals.sent;
    this->totals.sent_bytes += bytes.size();
    return true;
}

void udp_transport::receive_loop()
{
    std::array<pollfd, 2> poll_entries{pollfd{this->socket_fd, POLLIN, 0},
                                       pollfd{this->stop_fd, POLLIN, 0}};
    while (true) {
        const int ready = ::poll(poll_entries.data(), poll_entries.size(), -1);
        if (ready < 0 && errno != EINTR) {
            return;
        }
        if (poll_entries[1].revents != 0) {
            return;
        }
        if (ready > 0 && poll_entries[0].revents != 0) {
            this->receive_one();
        }
    }
}

void udp_transport::receive_one()
{
    // One byte more than the longest valid datagram, to detect longer ones.
    std::array<char, max_datagram_bytes + 1> buffer{};
    socket_address sender;
    sender.length = sizeof(sender.storage);
    const ssize_t size =
        ::recvfrom(this->socket_fd, buffer.data(), buffer.size(), 0, sender.get(), &sender.length);
    if (size < 0) {
        return;
    }
    ++this->totals.received;
    this->totals.received_bytes += static_cast<std::uint64_t>(size);
    if (static_cast<std::size_t>(size) > max_datagram_bytes) {
        ++this->totals.too_long;
        return;
    }
    this->on_datagram({buffer.data(), static_cast<std::size_t>(size)}, to_text(sender));
}

udp_counters udp_transport::counters() const
{
    return {this->totals.sent.load(),           this->totals.sent_bytes.load(),
            this->totals.send_failures.load(),  this->totals.received.load(),
            this->totals.received_bytes.load(), this->totals.too_long.load()};
}

} // namespace dragonflyroad
