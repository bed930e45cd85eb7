#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace dragonflyroad::test {

/// A raw TCP server for tests. Passes the bytes of each request to a script and sends the bytes
/// that the script returns. Records all requests.
class fake_upstream {
public:
    struct reply {
        std::string bytes;
        /// Closes the connection after sending the bytes.
        bool close = false;
        /// Resets the connection after sending the bytes.
        bool reset = false;
    };
    using script = std::function<reply(const std::string& request)>;

    explicit fake_upstream(script answers);
    fake_upstream(const fake_upstream&) = delete;
    fake_upstream& operator=(const fake_upstream&) = delete;
    fake_upstream(fake_upstream&&) = delete;
    fake_upstream& operator=(fake_upstream&&) = delete;
    ~fake_upstream();

    const std::string& address() const { return this->bound; }
    std::vector<std::string> requests() const;
    /// Connections accepted so far.
    std::size_t connections() const { return this->accepted; }
    /// Stops accepting and closes the connections.
    void stop();

private:
    void accept_loop();
    void serve(int connection);

    script answers;
    int listener = -1;
    std::string bound;
    mutable std::mutex mutex;
    std::vector<std::string> received;
    std::vector<int> open;
    std::atomic<std::size_t> accepted = 0;
    std::atomic<bool> stopping = false;
    std::vector<std::thread> connection_threads;
    std::thread acceptor;
};

/// Encodes an HTTP/1.1 answer with a Content-Length.
std::string plain_answer(int status, const std::string& body, const std::string& headers = {});

} // namespace dragonflyroad::test
