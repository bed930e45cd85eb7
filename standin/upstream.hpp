#pragma once

#include "core/clock.hpp"
#include "core/random.hpp"
#include "standin/upstream_fault.hpp"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

struct mg_connection;
struct mg_context;

namespace dragonflyroad::standin {

struct upstream_options {
    std::string service = "service";
    /// "ip:port"; port 0 selects a free port.
    std::string address = "127.0.0.1:0";
    /// Admin address of the node on the same VM; if empty, the upstream does not announce itself.
    std::string node_admin;
    std::uint32_t slots = 4;
    /// Requests that may wait for a slot; further ones are refused with X-Not-Run.
    std::uint32_t queue_limit = 16;
    std::chrono::milliseconds service_time{5};
    /// Length of the cold start, in which service times fall linearly from five times the normal
    /// value to the normal value.
    std::chrono::milliseconds cold_start{0};
    std::uint64_t seed = 1;
};

/// A request that the upstream started to run.
struct run_record {
    std::string request_id;
    std::string idempotency_key;
    std::string organisation;
    std::string method;
    std::string path;
    bool saw_authorization = false;
};

/// An upstream with slots, service times, announcement and draining. POST /_standin/fault injects a
/// gray fault at run time, and GET /_standin/runs lists the requests that were run. Every path
/// outside /_standin/ runs a request: the response contains the upstream's address, the
/// organisation and the X-Token header, and `size=N` in the query pads its body to N bytes.
class upstream {
public:
    explicit upstream(upstream_options initial);
    upstream(const upstream&) = delete;
    upstream& operator=(const upstream&) = delete;
    upstream(upstream&&) = delete;
    upstream& operator=(upstream&&) = delete;
    ~upstream();

    /// Starts listening and announcing; returns false with last_failure() set if the port is taken.
    bool start();
    /// Announces that the upstream drains, waits up to 10 s for requests in progress (not at all
    /// while a fault is set), then stops listening.
    void stop();
    void set_fault(const upstream_fault& next);
    std::string address() const;
    std::vector<run_record> runs() const;

    /// Called by the HTTP server for each request; returns the HTTP status that was sent.
    int handle_request(mg_connection* connection);

    /// Called by the HTTP server when the connection from this client port has closed.
    void remove_connection(int remote_port);

private:
    enum class run_outcome { completed, aborted };

    bool listen();
    void close_listener();
    int handle_control(mg_connection* connection, const std::string& path);
    int handle_upstream_request(mg_connection* connection, const std::string& path);
    /// Waits for a free slot until the deadline; returns whether one was acquired. Fails at once if
    /// the upstream drains or sheds requests, or if its queue is full.
    bool acquire_slot(std::unique_lock<std::mutex>& lock, time_point deadline);
    run_outcome run_request(std::unique_lock<std::mutex>& lock, time_point first_seen);
    std::chrono::nanoseconds service_time(time_point now);
    bool is_stalled(time_point now, time_point first_seen) const;
    /// Aborts all requests and closes the listener; listens again after the fault's period.
    void crash();
    void announce_loop();
    void announce(const std::string& state);

    upstream_options options;
    mg_context* server = nullptr;
    std::string bound_address;
    mutable std::mutex mutex;
    std::condition_variable changed;
    upstream_fault fault;
    time_point fault_set_at;
    time_point started_at;
    std::uint32_t busy_slots = 0;
    std::uint32_t queued = 0;
    bool draining = false;
    bool stopping = false;
    bool crashed = false;
    /// Time of the first request on each connection, by the client's port.
    std::map<int, time_point> connections;
    std::vector<run_record> run_records;
    random_engine random;
    std::thread announce_thread;
    std::thread restart_thread;
};

} // namespace dragonflyroad::standin
