#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace dragonflyroad::test {

struct raw_response {
    int status = 0;
    std::string body;
};

/// Sends one request on a new connection and reads the response. Status 0 when there is none within
/// some seconds.
raw_response exchange(const std::string& address, const std::string& request);

/// What each client of a crowd sends: a start, then one piece again and again.
struct client_script {
    std::string start;
    std::string piece;
    std::size_t pieces = 0;
};

/// Connections that all send the same to one address, in turn, as far as the peer reads. They stay
/// open until the crowd is destroyed.
class crowd {
public:
    crowd(const std::string& address, std::size_t clients, client_script script);
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;
    crowd(crowd&&) = delete;
    crowd& operator=(crowd&&) = delete;
    ~crowd();

    /// Sends until each client has sent everything, was closed by the peer, or the peer has read
    /// nothing from any client for a while.
    void send_all();
    std::size_t bytes_sent() const { return this->total_sent; }
    std::size_t connected() const { return this->clients.size(); }

private:
    struct client {
        int socket = -1;
        std::size_t sent = 0;
        bool is_closed = false;
    };

    /// Whether any byte was sent.
    bool send_some(client& sender);
    std::size_t total_bytes() const;

    client_script script;
    std::vector<client> clients;
    std::size_t total_sent = 0;
};

} // namespace dragonflyroad::test
