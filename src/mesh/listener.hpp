#pragma once

#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace dragonflyroad {

/// Binds the acceptor to "ip:port" and listens. False when that fails; see last_failure().
bool open_listener(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address);

} // namespace dragonflyroad
