#include "test/support/fake_upstream.hpp"

#include "test/support/raw_socket.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dragonflyroad::test {
namespace {

std::size_t body_length(const std::string& head)
{
    const std::size_t at = head.find("Content-Length: ");
    return at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
}

} // namespace

fake_upstream::fake_upstream(script function) : answers(std::move(function))
{
    this->listener = listen_on_loopback(this->bound);
    this->acceptor = std::thread([this] { this->accept_loop(); });
}

fake_upstream::~fake_upstream()
{
    this->stop();
}

void fake_upstream::stop()
{
    if (this->stopping.exchange(true)) {
        return;
    }
    shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    close(this->listener);
    {
        const std::scoped_lock lock{this->mutex};
        for (const int connection : this->open) {
            shutdown(connection, SHUT_RDWR);
        }
    }
    for (std::thread& worker : this->connection_threads) {
        worker.join();
    }
}

std::vector<std::string> fake_upstream::requests() const
{
    const std::scoped_lock lock{this->mutex};
    return this->received;
}

void fake_upstream::accept_loop()
{
    while (true) {
        const int connection = accept(this->listener, nullptr, nullptr);
        if (connection < 0) {
            return;
        }
        ++this->accepted;
        const std::scoped_lock lock{this->mutex};
        this->open.push_back(connection);
        this->connection_threads.emplace_back([this, connection] { this->serve(connection); });
    }
}

void fake_upstream::serve(int connection)
{
    std::string pending;
    while (true) {
        const std::string head = receive_until(connection, pending, "\r\n\r\n");
        if (head.empty()) {
            break;
        }
        const std::string body = receive_exactly(connection, pending, body_length(head));
        {
            const std::scoped_lock lock{this->mutex};
            this->received.push_back(head + body);
        }
        const reply answer = this->answers(head + body);
        if (!send_all(connection, answer.bytes) || answer.close || answer.reset) {
            if (answer.reset) {
                const linger now{1, 0};
                setsockopt(connection, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
            }
            break;
        }
    }
    const std::scoped_lock lock{this->mutex};
    std::erase(this->open, connection);
    close(connection);
}

std::string plain_answer(int status, const std::string& body, const std::string& headers)
{
    return fmt::format("HTTP/1.1 {} Status\r\nContent-Length: {}\r\n{}\r\n{}", status, body.size(),
                       headers, body);
}

} // namespace dragonflyroad::test
