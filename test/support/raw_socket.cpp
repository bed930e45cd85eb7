#include "test/support/raw_socket.hpp"

#include <array>
#include <cstdlib>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dragonflyroad::test {
namespace {

bool receive_more(int connection, std::string& pending)
{
    std::array<char, 65536> buffer{};
    const ssize_t count = recv(connection, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
        return false;
    }
    pending.append(buffer.data(), static_cast<std::size_t>(count));
    return true;
}

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

} // namespace

int listen_on_loopback(std::string& address)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in bound = loopback(0);
    if (bind(listener, reinterpret_cast<sockaddr*>(&bound), sizeof(bound)) != 0 ||
        listen(listener, 64) != 0) {
        close(listener);
        return -1;
    }
    socklen_t size = sizeof(bound);
    getsockname(listener, reinterpret_cast<sockaddr*>(&bound), &size);
    address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
    return listener;
}

int connect_to(const std::string& address)
{
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = loopback(std::atoi(address.substr(address.find(':') + 1).c_str()));
    if (connect(connection, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
        close(connection);
        return -1;
    }
    // Keeps a test from hanging for ever; no test depends on the value.
    const timeval limit{30, 0};
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    return connection;
}

bool send_all(int connection, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
            send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string receive_until(int connection, std::string& pending, const std::string& end)
{
    std::size_t at = pending.find(end);
    while (at == std::string::npos) {
        if (!receive_more(connection, pending)) {
            return {};
        }
        at = pending.find(end);
    }
    std::string text = pending.substr(0, at + end.size());
    pending.erase(0, at + end.size());
    return text;
}

std::string receive_exactly(int connection, std::string& pending, std::size_t size)
{
    while (pending.size() < size && receive_more(connection, pending)) {
    }
    std::string text = pending.substr(0, size);
    pending.erase(0, size);
    return text;
}

std::string receive_to_end(int connection)
{
    std::string text;
    while (receive_more(connection, text)) {
    }
    return text;
}

raw_client::raw_client(const std::string& address) : connection(connect_to(address)) {}

raw_client::~raw_client()
{
    close(this->connection);
}

bool raw_client::send(const std::string& bytes)
{
    return send_all(this->connection, bytes);
}

raw_client::answer raw_client::receive()
{
    answer result;
    result.head = receive_until(this->connection, this->pending, "\r\n\r\n");
    if (result.head.size() < 12) {
        result.is_cut = true;
        return result;
    }
    result.status = std::atoi(result.head.substr(9, 3).c_str());
    const std::size_t at = result.head.find("Content-Length: ");
    if (at != std::string::npos) {
        const std::size_t size = std::stoul(result.head.substr(at + 16));
        result.body = receive_exactly(this->connection, this->pending, size);
        result.is_cut = result.body.size() != size;
    }
    else if (result.head.find("Transfer-Encoding: chunked") != std::string::npos) {
        result.body = this->receive_chunks(result.is_cut);
    }
    return result;
}

std::string raw_client::receive_chunks(bool& is_cut)
{
    std::string body;
    while (true) {
        const std::string line = receive_until(this->connection, this->pending, "\r\n");
        const std::size_t size = line.empty() ? 0 : std::stoul(line, nullptr, 16);
        const std::string chunk = receive_exactly(this->connection, this->pending, size + 2);
        is_cut = line.empty() || chunk.size() != size + 2;
        if (is_cut || size == 0) {
            return body;
        }
        body.append(chunk, 0, size);
    }
}

raw_client::answer raw_client::exchange(const std::string& bytes)
{
    this->send(bytes);
    return this->receive();
}

bool raw_client::is_closed_by_server()
{
    return this->pending.empty() && !receive_more(this->connection, this->pending);
}

} // namespace dragonflyroad::test
