#pragma once

#include "core/ids.hpp"
#include "dispatch/vm_selector.hpp"
#include "mesh/link.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace dragonflyroad {

/// How this node identifies itself when a link opens.
struct link_identity {
    node_id node;
    incarnation node_incarnation = 0;
    std::string address;
};

/// The links that this node opened to other nodes: one per peer, opened when first needed. The
/// hello message of each new link names the runs that are still open at the peer, so that their
/// outcomes are not lost when a link fails. reconnect() opens a link again after a failure.
class link_table {
public:
    struct callbacks {
        std::function<void(const node_id&, link_message)> receive;
        /// The address of a peer, empty when unknown.
        std::function<std::string(const node_id&)> address_of;
        /// Ids of the runs at the peer whose outcome is not known yet.
        std::function<std::vector<run_id>(const node_id&)> open_runs;
        /// The link failed or could not be opened; reservations at the peer are dropped.
        std::function<void(const node_id&, const std::string& reason)> unreachable;
        /// A link is open again, to the same incarnation of the peer as before.
        std::function<void(const node_id&)> reachable;
        /// The peer's hello message carries another incarnation than before, so the outcome of the
        /// runs open there is unknown.
        std::function<void(const node_id&)> restarted;
        /// Whether the peer still has to reply to a reservation or report the outcome of a run.
        std::function<bool(const node_id&)> expects_traffic;
        /// Where the bodies of messages are reserved.
        std::shared_ptr<memory_budget> memory{};
    };

    link_table(boost::asio::io_context& loop, link_identity identity, callbacks functions);

    /// Sends a message. Without an open link, queues the message and opens one. Messages are
    /// dropped when the queue is full or the link cannot be opened.
    void send(const node_id& peer, const link_message& message);

    /// Opens a link unless there is one; used while runs are open at a peer whose link failed.
    void reconnect(const node_id& peer);

    /// Closes all links once the peers have been sent everything.
    void finish_all();
    void close_all();

private:
    struct peer_state {
        std::shared_ptr<link> open_link;
        std::shared_ptr<boost::asio::ip::tcp::socket> connecting_socket;
        std::vector<link_message> queued;
        incarnation peer_incarnation = 0;
    };

    void dial(const node_id& peer);
    void on_connected(const node_id& peer,
                      const std::shared_ptr<boost::asio::ip::tcp::socket>& socket);
    void on_link_failed(const node_id& peer, const std::string& reason);
    void on_message(const node_id& peer, link_message message);

    boost::asio::io_context& context;
    link_identity self;
    callbacks handlers;
    std::map<node_id, peer_state> peers;
};

} // namespace dragonflyroad
