#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

/// A peer that answers each connection with `head` and then with `block` until it is closed. It
/// does not read.
class endless_peer {
public:
    /// Port 0 chooses a free one.
    endless_peer(boost::asio::io_context& loop, std::string head, std::string block,
                 const std::string& ip = "127.0.0.1", unsigned short port = 0);
    endless_peer(const endless_peer&) = delete;
    endless_peer& operator=(const endless_peer&) = delete;
    endless_peer(endless_peer&&) = delete;
    endless_peer& operator=(endless_peer&&) = delete;
    /// Accepts no further connections; those that are open go on until the peer closes them.
    ~endless_peer();

    std::string address() const;
    std::size_t sent() const;
    std::size_t closed() const;

private:
    struct server;

    std::shared_ptr<server> running;
};
