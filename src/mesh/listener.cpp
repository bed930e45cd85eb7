#include "mesh/listener.hpp"

#include "adapters/address.hpp"
#include "core/failure.hpp"

namespace dragonflyroad {

bool open_listener(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address)
{
    const auto parsed = parse_address(address);
    if (!parsed) {
        fail("listen", address, "expected a numeric IP address and a port, \"ip:port\"");
        return false;
    }
    boost::system::error_code error;
    const boost::asio::ip::tcp::endpoint endpoint{boost::asio::ip::make_address(parsed->ip),
                                                  parsed->port};
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        fail("listen", address, error.message());
        return false;
    }
    return true;
}

} // namespace dragonflyroad
