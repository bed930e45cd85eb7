#include "mesh/link_table.hpp"

#include "adapters/address.hpp"
#include "adapters/log.hpp"

#include <utility>

namespace dragonflyroad {
namespace {

/// Allows for at least ten round trips between data centres. A VM without power does not answer
/// connection attempts.
constexpr std::chrono::milliseconds link_connect_timeout{400};

/// Maximum number of messages queued for a peer while its link opens.
constexpr std::size_t max_queued_messages = 256;

} // namespace

link_table::link_table(boost::asio::io_context& loop, link_identity identity, callbacks functions)
    : context(loop), self(std::move(identity)), handlers(std::move(functions))
{
}

void link_table::send(const node_id& peer, const link_message& message)
{
    peer_state& state = this->peers[peer];
    if (state.open_link != nullptr) {
        state.open_link->send(message);
        return;
    }
    if (state.queued.size() < max_queued_messages) {
        state.queued.push_back(message);
    }
    if (state.connecting_socket == nullptr) {
        this->dial(peer);
    }
}

void link_table::reconnect(const node_id& peer)
{
    peer_state& state = this->peers[peer];
    if (state.open_link == nullptr && state.connecting_socket == nullptr) {
        this->dial(peer);
    }
}

void link_table::dial(const node_id& peer)
{
    const std::string text = this->handlers.address_of(peer);
    const auto address = parse_address(text);
    if (!address) {
        boost::asio::post(this->context, [this, peer] {
            this->on_link_failed(peer, "the peer's address is unknown");
        });
        return;
    }
    auto socket = std::make_shared<boost::asio::ip::tcp::socket>(this->context);
    this->peers[peer].connecting_socket = socket;
    auto timeout = std::make_shared<boost::asio::steady_timer>(this->context, link_connect_timeout);
    timeout->async_wait([socket](const boost::system::error_code& error) {
        if (!error) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    socket->async_connect({boost::asio::ip::make_address(address->ip), address->port},
                          [this, peer, socket, timeout](const boost::system::error_code& error) {
                              timeout->cancel();
                              peer_state& state = this->peers[peer];
                              if (state.connecting_socket != socket) {
                                  return;
                              }
                              state.connecting_socket.reset();
                              if (error) {
                                  this->on_link_failed(peer, error.message());
                                  return;
                              }
                              this->on_connected(peer, socket);
                          });
}

void link_table::on_connected(const node_id& peer,
                              const std::shared_ptr<boost::asio::ip::tcp::socket>& socket)
{
    link::callbacks functions;
    functions.receive = [this, peer](link&, link_message message) {
        this->on_message(peer, std::move(message));
    };
    functions.closed = [this, peer](link& closed, const std::string& reason) {
        peer_state& state = this->peers[peer];
        if (state.open_link.get() == &closed) {
            state.open_link.reset();
            this->on_link_failed(peer, reason);
        }
    };
    functions.expects_traffic = [this, peer] { return this->handlers.expects_traffic(peer); };
    functions.memory = this->handlers.memory;
    peer_state& state = this->peers[peer];
    state.open_link = std::make_shared<link>(std::move(*socket), peer.value, std::move(functions));
    state.open_link->set_identified();
    state.open_link->start();
    state.open_link->send(hello_message{this->self.node, this->self.node_incarnation,
                                        this->self.address, this->handlers.open_runs(peer)});
    const auto queued = std::exchange(state.queued, {});
    for (const link_message& message : queued) {
        if (state.open_link != nullptr) {
            state.open_link->send(message);
        }
    }
}

void link_table::on_link_failed(const node_id& peer, const std::string& reason)
{
    this->peers[peer].queued.clear();
    log_line{"link_lost"}.add("peer", peer.value).add("detail", reason);
    this->handlers.unreachable(peer, reason);
}

void link_table::on_message(const node_id& peer, link_message message)
{
    if (const auto* hello = std::get_if<hello_message>(&message)) {
        const incarnation before =
            std::exchange(this->peers[peer].peer_incarnation, hello->node_incarnation);
        if (before != 0 && before != hello->node_incarnation) {
            log_line{"peer_restarted"}.add("peer", peer.value);
            this->handlers.restarted(peer);
        }
        else {
            this->handlers.reachable(peer);
        }
        return;
    }
    this->handlers.receive(peer, std::move(message));
}

void link_table::finish_all()
{
    for (const auto& [peer, state] : this->peers) {
        if (state.open_link != nullptr) {
            state.open_link->finish();
        }
    }
}

void link_table::close_all()
{
    for (auto& [peer, state] : this->peers) {
        if (const auto open = std::exchange(state.open_link, nullptr)) {
            open->close("stopping");
        }
        if (const auto socket = std::exchange(state.connecting_socket, nullptr)) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    }
}

} // namespace dragonflyroad
