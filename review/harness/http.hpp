#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace review {

using tcp = boost::asio::ip::tcp;
using request = boost::beast::http::request<boost::beast::http::string_body>;
using response = boost::beast::http::response<boost::beast::http::string_body>;

/// Parses "ip:port".
tcp::endpoint parse_endpoint(const std::string& address);

/// An accepted connection, served by one thread with blocking calls.
class connection {
public:
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}

    bool read(request& received);
    bool write(const response& answer);
    bool write_text(const std::string& bytes);
    /// Closes the sending side after what was written.
    void finish();
    /// Ends the connection in both directions, from any thread.
    void end();
    /// Discards what is written from now on; the connection stays open.
    void silence() { this->is_silent = true; }

private:
    std::atomic<bool> is_silent{false};
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
};

/// An HTTP server with one thread a connection. The handler writes the answer itself and returns
/// whether the connection is kept.
class http_server {
public:
    using handler = std::function<bool(connection&, const request&)>;

    explicit http_server(handler function) : handle(std::move(function)) {}
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;
    ~http_server() { this->stop(); }

    void start(const std::string& address);
    /// Lets the open connections go silent for good; new ones work.
    void silence_open_connections();
    /// Closes the listener; open connections stay.
    void close_listener();
    /// Closes the listener and ends all connections.
    void stop();

private:
    struct worker {
        std::shared_ptr<connection> link;
        std::thread thread;
    };

    void accept();
    void serve(connection& link);

    handler handle;
    boost::asio::io_context context;
    std::optional<tcp::acceptor> acceptor;
    std::thread accept_thread;
    std::mutex mutex;
    std::list<worker> workers;
    std::atomic<bool> is_stopping{false};
};

/// The result of one request: an answer, or an error text when there was none.
struct exchange {
    int status = 0;
    std::string body;
    std::string answered_id;
    std::string error;
};

/// Sends one request on a new connection and reads its answer.
exchange send_request(const std::string& address, request outgoing,
                      std::chrono::milliseconds timeout);

} // namespace review
