#include "mesh/peer_listener.hpp"

#include "adapters/log.hpp"
#include "mesh/listener.hpp"

#include <utility>

namespace dragonflyroad {

peer_listener::peer_listener(boost::asio::io_context& loop, link_identity identity,
                             callbacks functions)
    : acceptor(loop), self(std::move(identity)), handlers(std::move(functions))
{
}

bool peer_listener::listen(const std::string& address)
{
    if (!open_listener(this->acceptor, address)) {
        return false;
    }
    this->accept();
    return true;
}

void peer_listener::accept()
{
    this->acceptor.async_accept(
        [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
            if (!this->acceptor.is_open()) {
                return;
            }
            if (!error && this->make_room()) {
                link::callbacks functions;
                functions.receive = [this](link& from, link_message message) {
                    this->on_message(from, std::move(message));
                };
                functions.closed = [this](link& ended, const std::string& reason) {
                    this->on_closed(ended, reason);
                };
                // The node that opened the link checks it for silence.
                functions.expects_traffic = [] { return false; };
                functions.memory = this->handlers.memory;
                auto accepted = std::make_shared<link>(std::move(socket), "", std::move(functions));
                this->links.insert(accepted);
                this->strangers.push_back(accepted);
                accepted->start();
            }
            this->accept();
        });
}

bool peer_listener::make_room()
{
    std::erase_if(this->strangers, [](const auto& weak) {
        const auto open = weak.lock();
        return open == nullptr || open->has_identified();
    });
    if (this->links.size() < this->handlers.max_links) {
        return true;
    }
    ++this->over_limit;
    if (this->strangers.empty()) {
        log_line{"link_refused"}.add("links", this->links.size());
        return false;
    }
    if (const auto oldest = this->strangers.front().lock()) {
        log_line{"stranger_closed"}.add("links", this->links.size());
        oldest->close("another link needs its place");
    }
    return true;
}

void peer_listener::on_message(link& from, link_message message)
{
    if (const auto* hello = std::get_if<hello_message>(&message)) {
        this->on_hello(from, *hello);
        return;
    }
    const auto sender = this->link_nodes.find(&from);
    if (sender == this->link_nodes.end()) {
        from.close("received a message before the hello");
        return;
    }
    const node_id node = sender->second;
    const std::weak_ptr<link> weak = from.weak_from_this();
    this->handlers.receive(node, std::move(message), [weak](const link_message& reply) {
        if (const auto open = weak.lock()) {
            open->send(reply);
        }
    });
}

void peer_listener::on_hello(link& from, const hello_message& hello)
{
    const auto before = this->current_links.find(hello.node);
    if (before != this->current_links.end() && before->second != &from) {
        before->second->close("replaced");
    }
    from.set_identified();
    this->current_links[hello.node] = &from;
    this->link_nodes[&from] = hello.node;
    from.send(hello_message{this->self.node, this->self.node_incarnation, this->self.address, {}});
    const std::weak_ptr<link> weak = from.weak_from_this();
    this->handlers.opened(hello.node, hello, [weak](const link_message& reply) {
        if (const auto open = weak.lock()) {
            open->send(reply);
        }
    });
}

void peer_listener::on_closed(link& ended, const std::string& reason)
{
    const auto sender = this->link_nodes.find(&ended);
    if (sender != this->link_nodes.end()) {
        const node_id node = sender->second;
        this->link_nodes.erase(sender);
        const auto found = this->current_links.find(node);
        if (found != this->current_links.end() && found->second == &ended) {
            this->current_links.erase(found);
            log_line{"peer_link_closed"}.add("peer", node.value).add("detail", reason);
            this->handlers.closed(node);
        }
    }
    this->links.erase(ended.shared_from_this());
}

void peer_listener::finish()
{
    const auto open = this->links;
    for (const auto& accepted : open) {
        accepted->finish();
    }
}

void peer_listener::close()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    const auto open = this->links;
    for (const auto& accepted : open) {
        accepted->close("stopping");
    }
}

} // namespace dragonflyroad
