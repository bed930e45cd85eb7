#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// A point on the steady clock that many milliseconds from now.
steady::time_point after(milliseconds span);

struct address {
    std::string ip;
    int port = 0;

    std::string text() const { return this->ip + ':' + std::to_string(this->port); }
};

/// An HTTP/1.1 message. The start line is the request line or the status line.
struct message {
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// Value of the first header of that name, or an empty text.
    std::string header(std::string_view name) const;
    /// The status of a response, 0 for anything else.
    int status() const;
    /// Method and target of a request.
    std::string method() const;
    std::string target() const;
    /// The head as it stands, and the whole message, which states its length if no field does.
    std::string head_bytes() const;
    std::string bytes() const;
};

/// The fields of a target's query, decoded.
std::map<std::string, std::string> query_fields(const std::string& target);

enum class read_outcome { complete, closed, reset, timed_out };

/// A connected TCP socket.
class connection {
public:
    explicit connection(int socket) : descriptor(socket) {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;
    ~connection() { this->close(); }

    /// Connects from `local_ip` if that is given. Null when the connection fails.
    static std::unique_ptr<connection> open(const address& peer, const std::string& local_ip = {});

    bool send(std::string_view bytes);
    /// Reads the next message. A body has a length or ends with the connection (responses only).
    read_outcome read(message& next, steady::time_point until);
    /// Whether the peer has closed the connection or reset it. Bytes that wait are kept.
    bool is_closed_by_peer();
    void close();
    /// Bytes that were read and belong to no message yet.
    const std::string& unread() const { return this->buffer; }

private:
    read_outcome fill(steady::time_point until);

    int descriptor = -1;
    std::string buffer;
};

/// Accepts connections on an address, each in a thread of its own, until the listener is shut down.
/// Returns the listener's descriptor, or -1 when the address can't be bound.
int serve(const address& local, std::function<void(connection&)> handler);

/// Whether a listener could be bound to the address.
bool is_free(const address& local);

/// Sends one request on a connection of its own. Nothing when there is no complete answer.
std::optional<message> exchange(const address& peer, const message& request, milliseconds limit);

} // namespace review
