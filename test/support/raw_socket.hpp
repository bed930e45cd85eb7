#pragma once

#include <string>

namespace dragonflyroad::test {

/// Opens a listening socket on a free loopback port and sets `address` to its "ip:port". Returns
/// the descriptor, or -1 on failure.
int listen_on_loopback(std::string& address);

int connect_to(const std::string& address);

bool send_all(int connection, const std::string& bytes);

/// Receives up to and including `end`; excess bytes stay in `pending`. Returns nothing if the
/// connection ends first.
std::string receive_until(int connection, std::string& pending, const std::string& end);

std::string receive_exactly(int connection, std::string& pending, std::size_t size);

/// Receives until the peer closes the connection.
std::string receive_to_end(int connection);

/// A client connection that sends arbitrary bytes and parses HTTP/1.1 answers.
class raw_client {
public:
    struct answer {
        int status = 0;
        std::string head;
        std::string body;
        /// The connection ended before the answer was complete.
        bool is_cut = false;
    };

    explicit raw_client(const std::string& address);
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;
    raw_client(raw_client&&) = delete;
    raw_client& operator=(raw_client&&) = delete;
    ~raw_client();

    bool send(const std::string& bytes);
    /// Receives one answer, delimited by Content-Length or chunked encoding.
    answer receive();
    answer exchange(const std::string& bytes);
    /// Waits until the server closes the connection or sends something. Returns whether it closed.
    bool is_closed_by_server();

private:
    std::string receive_chunks(bool& is_cut);

    int connection;
    std::string pending;
};

} // namespace dragonflyroad::test
