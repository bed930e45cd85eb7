#include "net.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <memory>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review2 {
namespace {

/// How often a listener looks whether it is to end.
constexpr int accept_poll_ms = 20;

sockaddr_in to_address(const endpoint& place)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(place.port);
    inet_pton(AF_INET, place.ip.c_str(), &address.sin_addr);
    return address;
}

bool bind_to(int fd, const endpoint& place)
{
    const sockaddr_in address = to_address(place);
    return bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
}

int left_ms(steady::time_point until)
{
    const auto left = std::chrono::ceil<milliseconds>(until - steady::now()).count();
    return static_cast<int>(std::clamp<std::int64_t>(left, 0, 600'000));
}

bool is_same_name(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](unsigned char a, unsigned char b) { return tolower(a) == tolower(b); });
}

std::string word_of(const std::string& line, std::size_t wanted)
{
    std::size_t begin = 0;
    for (std::size_t index = 0; index < wanted && begin != std::string::npos; ++index) {
        begin = line.find(' ', begin);
        begin += begin == std::string::npos ? 0 : 1;
    }
    return begin == std::string::npos ? std::string{}
                                      : line.substr(begin, line.find(' ', begin) - begin);
}

std::optional<message> parse_head(const std::string& head)
{
    message parsed;
    std::size_t begin = 0;
    while (begin < head.size()) {
        const std::size_t end = std::min(head.find("\r\n", begin), head.size());
        const std::string line = head.substr(begin, end - begin);
        begin = end + 2;
        if (parsed.first_line.empty()) {
            parsed.first_line = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            return std::nullopt;
        }
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        parsed.headers.emplace_back(
            line.substr(0, colon), value == std::string::npos ? std::string{} : line.substr(value));
    }
    return parsed;
}

} // namespace

endpoint free_endpoint(const std::string& ip)
{
    endpoint place{ip, 0};
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (bind_to(fd, place) && getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
        place.port = ntohs(address.sin_port);
    }
    close(fd);
    return place;
}

bool is_free(const endpoint& place)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const bool can_bind = bind_to(fd, place);
    close(fd);
    return can_bind;
}

std::string message::method() const
{
    return word_of(this->first_line, 0);
}

std::string message::target() const
{
    return word_of(this->first_line, 1);
}

int message::status() const
{
    return std::atoi(word_of(this->first_line, 1).c_str());
}

std::string message::header(std::string_view name) const
{
    for (const auto& [key, value] : this->headers) {
        if (is_same_name(key, name)) {
            return value;
        }
    }
    return {};
}

connection::~connection()
{
    close(this->fd);
}

bool connection::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto count = ::send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

bool connection::read_more(steady::time_point until)
{
    pollfd waiting{this->fd, POLLIN, 0};
    if (poll(&waiting, 1, left_ms(until)) <= 0) {
        return false;
    }
    std::array<char, 16384> bytes{};
    const auto count = recv(this->fd, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        return false;
    }
    this->input.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<message> connection::receive(steady::time_point until)
{
    std::size_t end = 0;
    while ((end = this->input.find("\r\n\r\n")) == std::string::npos) {
        if (!this->read_more(until)) {
            return std::nullopt;
        }
    }
    auto parsed = parse_head(this->input.substr(0, end));
    if (!parsed) {
        return std::nullopt;
    }
    const auto length =
        static_cast<std::size_t>(std::atoll(parsed->header("Content-Length").c_str()));
    while (this->input.size() < end + 4 + length) {
        if (!this->read_more(until)) {
            return std::nullopt;
        }
    }
    parsed->body = this->input.substr(end + 4, length);
    this->input.erase(0, end + 4 + length);
    return parsed;
}

bool connection::closes_within(milliseconds time) const
{
    pollfd waiting{this->fd, POLLRDHUP, 0};
    return poll(&waiting, 1, static_cast<int>(time.count())) > 0;
}

void connection::reset()
{
    const linger discard{1, 0};
    setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    close(this->fd);
    this->fd = -1;
}

std::shared_ptr<connection> dial(const endpoint& place)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in address = to_address(place);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(fd);
        return nullptr;
    }
    return std::make_shared<connection>(fd);
}

std::shared_ptr<std::atomic<bool>> serve(const endpoint& place,
                                         std::function<void(connection&)> handler)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (!bind_to(listener, place) || listen(listener, 128) != 0) {
        std::_Exit(2);
    }
    auto is_ended = std::make_shared<std::atomic<bool>>(false);
    std::thread{[listener, is_ended, handler = std::move(handler)] {
        while (!*is_ended) {
            pollfd waiting{listener, POLLIN, 0};
            if (poll(&waiting, 1, accept_poll_ms) <= 0) {
                continue;
            }
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const int enabled = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
            std::thread{[fd, handler] {
                connection peer{fd};
                handler(peer);
            }}.detach();
        }
        close(listener);
    }}.detach();
    return is_ended;
}

std::string encode_request(const std::string& method, const std::string& target,
                           const std::vector<std::pair<std::string, std::string>>& headers,
                           const std::string& body)
{
    std::string bytes = method + ' ' + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
        bytes.append(name).append(": ").append(value).append("\r\n");
    }
    return bytes.append("Content-Length: ")
        .append(std::to_string(body.size()))
        .append("\r\n\r\n")
        .append(body);
}

std::string encode_response(int status,
                            const std::vector<std::pair<std::string, std::string>>& headers,
                            const std::string& body)
{
    std::string bytes = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : headers) {
        bytes.append(name).append(": ").append(value).append("\r\n");
    }
    return bytes.append("Content-Length: ")
        .append(std::to_string(body.size()))
        .append("\r\n\r\n")
        .append(body);
}

std::optional<message> exchange(const endpoint& place, const std::string& request,
                                milliseconds time)
{
    const auto peer = dial(place);
    if (peer == nullptr || !peer->send(request)) {
        return std::nullopt;
    }
    return peer->receive(steady::now() + time);
}

} // namespace review2
