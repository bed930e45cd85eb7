#include "net.hpp"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <memory>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {
namespace {

constexpr int listen_backlog = 512;

bool equals_ignoring_case(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char one, char two) {
        return std::tolower(static_cast<unsigned char>(one)) ==
               std::tolower(static_cast<unsigned char>(two));
    });
}

sockaddr_in to_socket_address(const address& from)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(static_cast<std::uint16_t>(from.port));
    inet_pton(AF_INET, from.ip.c_str(), &native.sin_addr);
    return native;
}

int bind_listener(const address& local)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const sockaddr_in native = to_socket_address(local);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0 ||
        ::listen(listener, listen_backlog) != 0) {
        ::close(listener);
        return -1;
    }
    return listener;
}

std::string word(const std::string& line, std::size_t wanted)
{
    std::istringstream words{line};
    std::string found;
    for (std::size_t index = 0; index <= wanted; ++index) {
        found.clear();
        words >> found;
    }
    return found;
}

message parse_head(const std::string& head)
{
    message parsed;
    std::istringstream lines{head};
    for (std::string line; std::getline(lines, line);) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const std::size_t colon = line.find(':');
        if (parsed.start_line.empty()) {
            parsed.start_line = line;
        }
        else if (colon != std::string::npos) {
            const std::size_t value = std::min(line.find_first_not_of(' ', colon + 1), line.size());
            parsed.headers.emplace_back(line.substr(0, colon), line.substr(value));
        }
    }
    return parsed;
}

std::string unescape(const std::string& text)
{
    std::string plain;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            plain += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        }
        else {
            plain += text[at];
        }
    }
    return plain;
}

} // namespace

steady::time_point after(milliseconds span)
{
    return steady::now() + span;
}

std::string message::header(std::string_view name) const
{
    const auto found =
        std::find_if(this->headers.begin(), this->headers.end(),
                     [&](const auto& field) { return equals_ignoring_case(field.first, name); });
    return found == this->headers.end() ? std::string{} : found->second;
}

int message::status() const
{
    return std::atoi(word(this->start_line, 1).c_str());
}

std::string message::method() const
{
    return word(this->start_line, 0);
}

std::string message::target() const
{
    return word(this->start_line, 1);
}

std::string message::head_bytes() const
{
    std::string text = this->start_line + "\r\n";
    for (const auto& [name, value] : this->headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    return text + "\r\n";
}

std::string message::bytes() const
{
    message framed = *this;
    const bool is_bare = this->body.empty() && this->start_line.starts_with("GET ");
    if (!is_bare && this->header("Content-Length").empty()) {
        framed.headers.emplace_back("Content-Length", std::to_string(this->body.size()));
    }
    return framed.head_bytes() + this->body;
}

std::map<std::string, std::string> query_fields(const std::string& target)
{
    std::map<std::string, std::string> fields;
    const std::size_t mark = target.find('?');
    std::istringstream rest{mark == std::string::npos ? "" : target.substr(mark + 1)};
    for (std::string pair; std::getline(rest, pair, '&');) {
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos) {
            fields[pair.substr(0, equals)] = unescape(pair.substr(equals + 1));
        }
    }
    return fields;
}

std::unique_ptr<connection> connection::open(const address& peer, const std::string& local_ip)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto opened = std::make_unique<connection>(socket);
    if (!local_ip.empty()) {
        const sockaddr_in local = to_socket_address({local_ip, 0});
        if (::bind(socket, reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0) {
            return nullptr;
        }
    }
    const sockaddr_in native = to_socket_address(peer);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0) {
        return nullptr;
    }
    const int enabled = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    return opened;
}

bool connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto count = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

read_outcome connection::fill(steady::time_point until)
{
    const auto left = std::chrono::duration_cast<milliseconds>(until - steady::now());
    pollfd waiting{this->descriptor, POLLIN, 0};
    if (left <= milliseconds::zero() || ::poll(&waiting, 1, static_cast<int>(left.count())) <= 0) {
        return read_outcome::timed_out;
    }
    std::string chunk(16384, '\0');
    const auto count = ::recv(this->descriptor, chunk.data(), chunk.size(), 0);
    if (count <= 0) {
        return count == 0 ? read_outcome::closed : read_outcome::reset;
    }
    this->buffer.append(chunk, 0, static_cast<std::size_t>(count));
    return read_outcome::complete;
}

read_outcome connection::read(message& next, steady::time_point until)
{
    constexpr std::string_view head_end = "\r\n\r\n";
    std::size_t end = this->buffer.find(head_end);
    while (end == std::string::npos) {
        if (const auto outcome = this->fill(until); outcome != read_outcome::complete) {
            return outcome;
        }
        end = this->buffer.find(head_end);
    }
    next = parse_head(this->buffer.substr(0, end));
    this->buffer.erase(0, end + head_end.size());
    const std::string length = next.header("Content-Length");
    const auto wanted = static_cast<std::size_t>(std::strtoull(length.c_str(), nullptr, 10));
    while (this->buffer.size() < wanted) {
        if (const auto outcome = this->fill(until); outcome != read_outcome::complete) {
            return outcome;
        }
    }
    next.body = this->buffer.substr(0, wanted);
    this->buffer.erase(0, wanted);
    return read_outcome::complete;
}

bool connection::is_closed_by_peer()
{
    pollfd state{this->descriptor, POLLRDHUP, 0};
    ::poll(&state, 1, 0);
    return (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void connection::close()
{
    if (this->descriptor >= 0) {
        ::close(std::exchange(this->descriptor, -1));
    }
}

int serve(const address& local, std::function<void(connection&)> handler)
{
    const int listener = bind_listener(local);
    if (listener < 0) {
        return listener;
    }
    std::thread{[listener, handler = std::move(handler)] {
        while (true) {
            const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                ::close(listener);
                return;
            }
            std::thread{[socket, handler] {
                connection accepted{socket};
                handler(accepted);
            }}.detach();
        }
    }}.detach();
    return listener;
}

bool is_free(const address& local)
{
    const int listener = bind_listener(local);
    if (listener >= 0) {
        ::close(listener);
    }
    return listener >= 0;
}

std::optional<message> exchange(const address& peer, const message& request, milliseconds limit)
{
    const auto opened = connection::open(peer);
    message answer;
    if (opened == nullptr || !opened->send(request.bytes()) ||
        opened->read(answer, after(limit)) != read_outcome::complete) {
        return std::nullopt;
    }
    return answer;
}

} // namespace review
