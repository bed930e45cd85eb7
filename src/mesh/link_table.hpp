#pragma once

#include "core/ids.hpp"
#include "dispatch/placement.hpp"
#include "mesh/link.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace dragonflyroad {

/// What this node says of itself when a link opens.
struct link_identity {
    node_id node;
    incarnation run = 0;
    std::string address;
};

/// The links that this node opened to others, one a peer, opened when first needed. A link that
/// fails while runs are open at the peer is opened again and names those runs, so that their
/// outcomes are not lost with it.
class link_table {
public:
    struct callbacks {
        std::function<void(const node_id&, link_message)> receive;
        /// The address of a peer, empty when unknown.
        std::function<std::string(const node_id&)> address_of;
        /// Requests handed to the peer whose outcome is not known yet.
        std::function<std::vector<run_id>(const node_id&)> open_runs;
        /// No link can be had at the moment; reservations there are void.
        std::function<void(const node_id&, const std::string& reason)> unreachable;
        /// The peer answers with another incarnation than before: what it ran is unknown.
        std::function<void(const node_id&)> restarted;
        /// Whether replies of the peer are awaited.
        std::function<bool(const node_id&)> expects_traffic;
    };

    link_table(boost::asio::io_context& loop, link_identity identity, callbacks functions);

    /// Sends on the open link, or opens one and sends then.
    void send(const node_id& peer, const link_message& message);

    /// Looks after links that failed while runs are open at the peer.
    void reconnect(const node_id& peer);

    void close_all();

private:
    struct peer_state {
        std::shared_ptr<link> open;
        std::shared_ptr<boost::asio::ip::tcp::socket> dialing;
        std::vector<link_message> queued;
        incarnation run = 0;
    };

    void dial(const node_id& peer);
    void on_connected(const node_id& peer,
                      const std::shared_ptr<boost::asio::ip::tcp::socket>& socket);
    void on_failed(const node_id& peer, const std::string& reason);
    void on_message(const node_id& peer, link_message message);

    boost::asio::io_context& context;
    link_identity self;
    callbacks handlers;
    std::map<node_id, peer_state> peers;
};

} // namespace dragonflyroad
