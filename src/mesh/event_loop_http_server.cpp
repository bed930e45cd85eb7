#include "mesh/event_loop_http_server.hpp"

#include "adapters/log.hpp"
#include "mesh/listener.hpp"
#include "mesh/server_connection.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include <poll.h>

namespace dragonflyroad {
namespace {

/// Memory of a connection: its buffers and the greatest head.
constexpr std::size_t connection_memory_bytes = 24U << 10U;

} // namespace

event_loop_http_server::event_loop_http_server(boost::asio::io_context& loop,
                                               server_callbacks callbacks)
    : context(loop), acceptor(loop), handlers(std::move(callbacks))
{
}

bool event_loop_http_server::listen(const std::string& address)
{
    if (!open_listener(this->acceptor, address)) {
        return false;
    }
    this->accept();
    return true;
}

void event_loop_http_server::accept()
{
    this->acceptor.async_accept(
        [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
            if (!this->acceptor.is_open()) {
                return;
            }
            if (!error) {
                this->add_connection(std::move(socket));
            }
            this->accept();
        });
}

void event_loop_http_server::add_connection(boost::asio::ip::tcp::socket socket)
{
    boost::system::error_code ignored;
    const auto remote = socket.remote_endpoint(ignored).address().to_string();
    memory_reservation reservation{this->handlers.bounds.memory};
    const auto reserve = [&] {
        return reservation.resize(connection_memory_bytes, memory_use::connection);
    };
    if (!this->make_room() || (!reserve() && (!this->close_one() || !reserve()))) {
        ++this->handlers.bounds.counters->refused_connections;
        log_line{"connection_refused"}
            .add("remote", remote)
            .add("connections", this->connections.size());
        return;
    }
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    auto connection = std::make_shared<server_connection>(
        *this, std::move(socket),
        server_connection::origin{++this->last_connection, remote, std::move(reservation)});
    this->connections.insert(connection);
    connection->start();
}

bool event_loop_http_server::make_room()
{
    return this->connections.size() < this->handlers.bounds.max_connections || this->close_one();
}

bool event_loop_http_server::close_one()
{
    std::vector<connection_state> states;
    for (const auto& connection : this->connections) {
        states.push_back(connection->state());
    }
    const auto chosen = connection_to_close(states);
    if (!chosen) {
        return false;
    }
    const auto found = std::ranges::find_if(
        this->connections, [&](const auto& open) { return open->state().id == *chosen; });
    ++this->handlers.bounds.counters->closed_for_room;
    log_line{"connection_closed_for_room"}
        .add("remote", (*found)->state().remote_ip)
        .add("connections", this->connections.size());
    (*found)->close();
    return true;
}

void event_loop_http_server::answer_open_requests()
{
    const auto open = this->connections;
    for (const auto& connection : open) {
        connection->answer_before_stop();
    }
}

bool event_loop_http_server::has_unread_input()
{
    pollfd waiting{this->acceptor.native_handle(), POLLIN, 0};
    return ::poll(&waiting, 1, 0) > 0 ||
           std::ranges::any_of(this->connections,
                               [](const auto& open) { return open->has_unread_input(); });
}

void event_loop_http_server::close()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    const auto open = this->connections;
    for (const auto& connection : open) {
        connection->close();
    }
}

} // namespace dragonflyroad
