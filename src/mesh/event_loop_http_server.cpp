#include "mesh/event_loop_http_server.hpp"

#include "mesh/listener.hpp"
#include "mesh/server_connection.hpp"

#include <algorithm>
#include <utility>

#include <poll.h>

namespace dragonflyroad {

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
                boost::system::error_code ignored;
                socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
                auto connection = std::make_shared<server_connection>(*this, std::move(socket));
                this->connections.insert(connection);
                connection->start();
            }
            this->accept();
        });
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
