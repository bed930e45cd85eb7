#pragma once

#include "test/clients/store_stand_in.hpp"
#include "test/support/endless_peer.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <thread>

#include <sys/types.h>

#include <boost/asio/io_context.hpp>

namespace dragonflyroad::test {

/// Settings of the process and limits of its configuration; lower than in any deployment, so that a
/// small crowd exceeds them.
constexpr std::size_t memory_limit_mb = 64;
constexpr std::size_t descriptor_limit = 400;
constexpr std::size_t body_limit_bytes = 8U << 20U;

/// What an upstream in trouble sends: a start, then one piece again and again.
struct endless_answer {
    std::string start;
    std::string piece;
};

/// The program dragonflyroad-sidecar as a process of its own, with a store and one upstream that
/// run in this test.
class node_under_test {
public:
    /// `descriptors` is the limit in the settings of the process.
    explicit node_under_test(std::size_t descriptors = descriptor_limit);
    node_under_test(const node_under_test&) = delete;
    node_under_test& operator=(const node_under_test&) = delete;
    node_under_test(node_under_test&&) = delete;
    node_under_test& operator=(node_under_test&&) = delete;
    ~node_under_test();

    /// Whether the node was ready and had served a request before the test began.
    bool is_prepared() const { return this->prepared; }

    std::string outbound() const { return this->ip + ":19803"; }
    std::string inbound() const { return this->ip + ":19802"; }
    std::string ready() const { return this->ip + ":19804"; }
    std::string control() const { return this->ip + ":19805"; }
    std::string metrics() const { return this->ip + ":9464"; }

    /// Puts a peer that answers each connection without end in the place of the upstream, until it
    /// is called with nothing.
    void replace_upstream(const std::optional<endless_answer>& answer);

    bool is_alive() const;
    std::size_t peak_memory_mb() const;
    std::size_t descriptors() const;

    /// Requests as an ordinary caller, the upstream and the platform send them. A caller repeats a
    /// request that was refused, for at most 15 s. The status of the last response, 0 without one.
    int request_as_caller(std::size_t body_bytes = 0);
    int check_in();
    int check_readiness() const;
    /// The value of a metric; negative when it is absent.
    double metric(const std::string& name) const;

private:
    void write_settings() const;
    void start();
    http_response run(const http_request& request);

    std::string ip;
    std::string folder;
    std::size_t max_descriptors;
    boost::asio::io_context loop;
    store_stand_in store;
    event_loop_http_server upstream;
    std::optional<endless_peer> faulty_upstream;
    std::thread stand_ins;
    pid_t process = 0;
    int requests_sent = 0;
    int check_ins_sent = 0;
    bool prepared = false;
};

} // namespace dragonflyroad::test
