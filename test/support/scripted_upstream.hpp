#pragma once

#include "mesh/http_codec.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

/// What a scripted upstream does with the connection after it has sent its bytes.
enum class after_reply { keep, close };

/// The bytes that a scripted upstream sends when it has read a request.
struct scripted_reply {
    std::string bytes;
    after_reply then = after_reply::keep;
};

/// An upstream on the test's event loop that sends arbitrary bytes, also such as are no response or
/// belong to another request. Connections are numbered from 0 in the order in which they were
/// accepted.
class scripted_upstream {
public:
    using script =
        std::function<scripted_reply(std::size_t connection, const dragonflyroad::http_request&)>;

    scripted_upstream(boost::asio::io_context& loop, script replies);

    std::string address() const;
    /// Refuses connections from now on.
    void stop_listening() { this->acceptor.close(); }
    std::size_t connections() const { return this->accepted; }

private:
    struct connection;

    void accept();
    void read(const std::shared_ptr<connection>& open);
    void reply(const std::shared_ptr<connection>& open, const dragonflyroad::http_request& request);

    boost::asio::ip::tcp::acceptor acceptor;
    script replies;
    std::size_t accepted = 0;
};

/// The id that the upstream returns with its response to a request.
std::string attempt_id(const dragonflyroad::http_request& request);

/// The head of a signed response without an end and without a length.
std::string signed_head(int status, const std::string& id);

/// A signed response with a length.
std::string signed_response(int status, const std::string& id, const std::string& body);

/// A response by which an upstream states that it did not run the request.
std::string refusal_response(const std::string& id);
