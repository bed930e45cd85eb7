#include "endless_peer.hpp"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

using tcp = boost::asio::ip::tcp;

struct endless_peer::server : std::enable_shared_from_this<server> {
    server(boost::asio::io_context& loop, const tcp::endpoint& address, std::string first,
           std::string repeated)
        : acceptor(loop, address), head(std::move(first)), block(std::move(repeated))
    {
    }

    void accept()
    {
        this->acceptor.async_accept([self = this->shared_from_this()](
                                        const boost::system::error_code& error, tcp::socket peer) {
            if (!error) {
                self->write(std::make_shared<tcp::socket>(std::move(peer)), self->head);
                self->accept();
            }
        });
    }

    void write(const std::shared_ptr<tcp::socket>& peer, const std::string& bytes)
    {
        boost::asio::async_write(*peer, boost::asio::buffer(bytes),
                                 [self = this->shared_from_this(),
                                  peer](const boost::system::error_code& error, std::size_t size) {
                                     self->sent += size;
                                     if (error) {
                                         ++self->closed;
                                         return;
                                     }
                                     self->write(peer, self->block);
                                 });
    }

    tcp::acceptor acceptor;
    const std::string head;
    const std::string block;
    std::size_t sent = 0;
    std::size_t closed = 0;
};

endless_peer::endless_peer(boost::asio::io_context& loop, std::string head, std::string block,
                           const std::string& ip, unsigned short port)
    : running(std::make_shared<server>(loop, tcp::endpoint{boost::asio::ip::make_address(ip), port},
                                       std::move(head), std::move(block)))
{
    this->running->accept();
}

endless_peer::~endless_peer()
{
    boost::system::error_code ignored;
    this->running->acceptor.close(ignored);
}

std::string endless_peer::address() const
{
    const auto own = this->running->acceptor.local_endpoint();
    return own.address().to_string() + ':' + std::to_string(own.port());
}

std::size_t endless_peer::sent() const
{
    return this->running->sent;
}

std::size_t endless_peer::closed() const
{
    return this->running->closed;
}
