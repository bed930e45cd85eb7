#pragma once

#include "mesh/link.hpp"
#include "mesh/link_table.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
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
        /// Where the bodies of messages are reserved.
        std::shared_ptr<memory_budget> memory{};
        std::size_t max_links = std::numeric_limits<std::size_t>::max();
    };

    peer_listener(boost::asio::io_context& loop, link_identity identity, callbacks functions);

    /// Binds to `address`, "ip:port", and accepts links. False when that fails; see last_failure().
    bool listen(const std::string& address);
    /// Closes all links once the peers have been sent everything.
    void finish();
    void close();

    /// Links that were closed or refused because of the limit on links.
    std::uint64_t links_over_limit() const { return this->over_limit; }

private:
    void accept();
    /// Closes a link whose peer has not sent its hello, if the limit is reached. False when all
    /// have.
    bool make_room();
    void on_message(link& from, link_message message);
    void on_hello(link& from, const hello_message& hello);
    void on_closed(link& ended, const std::string& reason);

    boost::asio::ip::tcp::acceptor acceptor;
    link_identity self;
    callbacks handlers;
    std::set<std::shared_ptr<link>> links;
    /// Links without a hello, in the order of their arrival.
    std::list<std::weak_ptr<link>> strangers;
    std::uint64_t over_limit = 0;
    std::map<node_id, link*> current_links;
    std::map<const link*, node_id> link_nodes;
};

} // namespace dragonflyroad
