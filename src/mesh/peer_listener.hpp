#pragma once

#include "mesh/link.hpp"
#include "mesh/link_table.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace dragonflyroad {

/// Accepts the links that other nodes open. Each node has one current link: a new link closes the
/// previous one, so that no message sent on the previous one is handled any more.
class peer_listener {
public:
    using send_function = std::function<void(const link_message&)>;

    struct callbacks {
        std::function<void(const node_id& from, const hello_message&, send_function reply)> opened;
        std::function<void(const node_id& from, link_message, const send_function& reply)> receive;
        std::function<void(const node_id& from)> closed;
    };

    peer_listener(boost::asio::io_context& loop, link_identity identity, callbacks functions);

    /// Binds to `address`, "ip:port", and accepts links. False when that fails; see last_failure().
    bool listen(const std::string& address);
    /// Closes all links once the peers have been sent everything.
    void finish();
    void close();

private:
    void accept();
    void on_message(link& from, link_message message);
    void on_hello(link& from, const hello_message& hello);
    void on_closed(link& ended, const std::string& reason);

    boost::asio::ip::tcp::acceptor acceptor;
    link_identity self;
    callbacks handlers;
    std::set<std::shared_ptr<link>> links;
    std::map<node_id, link*> current_links;
    std::map<const link*, node_id> link_nodes;
};

} // namespace dragonflyroad
