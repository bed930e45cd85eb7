#include "test/clients/crowd.hpp"

#include "adapters/address.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dragonflyroad::test {
namespace {

using namespace std::chrono_literals;

constexpr auto no_progress_limit = 2s;
constexpr auto poll_interval = 2ms;
constexpr timeval response_limit{6, 0};

int connect_to_any(const std::string& address)
{
    const auto parsed = parse_address(address);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(parsed->port);
    ::inet_pton(AF_INET, parsed->ip.c_str(), &target.sin_addr);
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &response_limit, sizeof(response_limit));
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &response_limit, sizeof(response_limit));
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

raw_response parse(const std::string& bytes)
{
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos || bytes.size() < 12) {
        return {};
    }
    return {std::atoi(bytes.substr(9, 3).c_str()), bytes.substr(end + 4)};
}

bool is_complete(const std::string& bytes)
{
    const std::size_t end = bytes.find("\r\n\r\n");
    const std::size_t at = bytes.find("Content-Length: ");
    return end != std::string::npos &&
           (at > end || bytes.size() >= end + 4 + std::stoul(bytes.substr(at + 16)));
}

} // namespace

raw_response exchange(const std::string& address, const std::string& request)
{
    const int socket = connect_to_any(address);
    if (socket < 0) {
        return {};
    }
    std::size_t sent = 0;
    while (sent < request.size()) {
        const ssize_t count =
            ::send(socket, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            break;
        }
        sent += static_cast<std::size_t>(count);
    }
    std::string received;
    std::array<char, 65536> buffer{};
    while (!is_complete(received)) {
        const ssize_t count = ::recv(socket, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            break;
        }
        received.append(buffer.data(), static_cast<std::size_t>(count));
    }
    ::close(socket);
    return parse(received);
}

crowd::crowd(const std::string& address, std::size_t count, client_script repeated)
    : script(std::move(repeated))
{
    for (std::size_t index = 0; index < count; ++index) {
        const int socket = connect_to_any(address);
        if (socket >= 0) {
            ::fcntl(socket, F_SETFL, O_NONBLOCK);
            this->clients.push_back({socket});
        }
    }
}

crowd::~crowd()
{
    for (const client& open : this->clients) {
        ::close(open.socket);
    }
}

std::size_t crowd::total_bytes() const
{
    return this->script.start.size() + (this->script.piece.size() * this->script.pieces);
}

bool crowd::send_some(client& sender)
{
    const bool is_start = sender.sent < this->script.start.size();
    const std::string& text = is_start ? this->script.start : this->script.piece;
    const std::size_t at =
        is_start ? sender.sent : (sender.sent - this->script.start.size()) % text.size();
    const ssize_t count = ::send(sender.socket, text.data() + at, text.size() - at, MSG_NOSIGNAL);
    if (count > 0) {
        sender.sent += static_cast<std::size_t>(count);
        this->total_sent += static_cast<std::size_t>(count);
        return true;
    }
    sender.is_closed = errno != EAGAIN && errno != EINTR;
    return false;
}

void crowd::send_all()
{
    auto last_progress = std::chrono::steady_clock::now();
    const std::size_t total = this->total_bytes();
    const auto is_done = [total](const client& one) { return one.is_closed || one.sent >= total; };
    while (!std::ranges::all_of(this->clients, is_done)) {
        bool has_progress = false;
        for (client& sender : this->clients) {
            if (!is_done(sender)) {
                has_progress = this->send_some(sender) || has_progress;
            }
        }
        const auto now = std::chrono::steady_clock::now();
        if (has_progress) {
            last_progress = now;
        }
        else if (now > last_progress + no_progress_limit) {
            return;
        }
        else {
            std::this_thread::sleep_for(poll_interval);
        }
    }
}

} // namespace dragonflyroad::test
