#include "mesh/link_table.hpp"

#include "adapters/address.hpp"
#include "adapters/log.hpp"

#include <utility>

namespace dragonflyroad {
namespace {

/// Time for a connection to be made; a dark VM answers nothing. Ten round trips between data
/// centres.
constexpr std::chrono::milliseconds connect_limit{400};

/// Messages kept for a peer while its link opens.
constexpr std::size_t most_queued = 256;

} // namespace

link_table::link_table(boost::asio::io_context& loop, link_identity identity, callbacks functions)
    : context(loop), self(std::move(identity)), handlers(std::move(functions))
{
}

void link_table::send(const node_id& peer, const link_message& message)
{
    peer_state& state = this->peers[peer];
    if (state.open != nullptr) {
        state.open->send(message);
        return;
    }
    if (state.queued.size() < most_queued) {
        state.queued.push_back(message);
    }
    if (state.dialing == nullptr) {
        this->dial(peer);
    }
}

void link_table::reconnect(const node_id& peer)
{
    peer_state& state = this->peers[peer];
    if (state.open == nullptr && state.dialing == nullptr) {
        this->dial(peer);
    }
}

void link_table::dial(const node_id& peer)
{
    const std::string text = this->handlers.address_of(peer);
    const auto address = parse_address(text);
    if (!address) {
        boost::asio::post(this->context,
                          [this, peer] { this->on_failed(peer, "the address is not known"); });
        return;
    }
    auto socket = std::make_shared<boost::asio::ip::tcp::socket>(this->context);
    this->peers[peer].dialing = socket;
    auto limit = std::make_shared<boost::asio::steady_timer>(this->context, connect_limit);
    limit->async_wait([socket](const boost::system::error_code& error) {
        if (!error) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    socket->async_connect({boost::asio::ip::make_address(address->ip), address->port},
                          [this, peer, socket, limit](const boost::system::error_code& error) {
                              limit->cancel();
                              peer_state& state = this->peers[peer];
                              if (state.dialing != socket) {
                                  return;
                              }
                              state.dialing.reset();
                              if (error) {
                                  this->on_failed(peer, error.message());
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
        if (state.open.get() == &closed) {
            state.open.reset();
            this->on_failed(peer, reason);
        }
    };
    functions.expects_traffic = [this, peer] { return this->handlers.expects_traffic(peer); };
    peer_state& state = this->peers[peer];
    state.open = std::make_shared<link>(std::move(*socket), peer.value, std::move(functions));
    state.open->start();
    state.open->send(hello_message{this->self.node, this->self.run, this->self.address,
                                   this->handlers.open_runs(peer)});
    const auto queued = std::exchange(state.queued, {});
    for (const link_message& message : queued) {
        if (state.open != nullptr) {
            state.open->send(message);
        }
    }
}

void link_table::on_failed(const node_id& peer, const std::string& reason)
{
    this->peers[peer].queued.clear();
    log_line{"link_lost"}.add("peer", peer.value).add("detail", reason);
    this->handlers.unreachable(peer, reason);
}

void link_table::on_message(const node_id& peer, link_message message)
{
    if (const auto* hello = std::get_if<hello_message>(&message)) {
        const incarnation before = std::exchange(this->peers[peer].run, hello->run);
        if (before != 0 && before != hello->run) {
            log_line{"peer_restarted"}.add("peer", peer.value);
            this->handlers.restarted(peer);
        }
        return;
    }
    this->handlers.receive(peer, std::move(message));
}

void link_table::close_all()
{
    for (auto& [peer, state] : this->peers) {
        if (const auto open = std::exchange(state.open, nullptr)) {
            open->close("stopping");
        }
        if (const auto dialing = std::exchange(state.dialing, nullptr)) {
            boost::system::error_code ignored;
            dialing->close(ignored);
        }
    }
}

} // namespace dragonflyroad
