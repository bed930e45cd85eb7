#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Small blocking HTTP/1.1 for the stand-ins of the review: one thread for each connection.
namespace review2 {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct endpoint {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return this->ip + ':' + std::to_string(this->port); }
};

/// A port of this loopback address that nobody uses now.
endpoint free_endpoint(const std::string& ip);

/// Whether nobody uses this port of the address now.
bool is_free(const endpoint& place);

/// A request or a response.
struct message {
    /// The request line or the status line.
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string method() const;
    std::string target() const;
    int status() const;
    /// The value of a header, empty if there is none.
    std::string header(std::string_view name) const;
};

/// A TCP connection. Closed at the end of its life.
class connection {
public:
    explicit connection(int descriptor) : fd(descriptor) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;

    bool send(std::string_view bytes) const;
    /// The next message; nothing at the end of the connection or of the time.
    std::optional<message> receive(steady::time_point until);
    /// Whether the peer closes the connection within this time.
    bool closes_within(milliseconds time) const;
    /// Closes the connection with a reset.
    void reset();

private:
    bool read_more(steady::time_point until);

    int fd = -1;
    std::string input;
};

/// Opens a connection; null when it is refused or not accepted within a second.
std::shared_ptr<connection> dial(const endpoint& place);

/// Calls the handler on a thread of its own for each connection. Setting the flag that is returned
/// to true ends the listening.
std::shared_ptr<std::atomic<bool>> serve(const endpoint& place,
                                         std::function<void(connection&)> handler);

std::string encode_request(const std::string& method, const std::string& target,
                           const std::vector<std::pair<std::string, std::string>>& headers,
                           const std::string& body);
std::string encode_response(int status,
                            const std::vector<std::pair<std::string, std::string>>& headers,
                            const std::string& body);

/// One request on a new connection; nothing without a complete response in time.
std::optional<message> exchange(const endpoint& place, const std::string& request,
                                milliseconds time);

} // namespace review2
