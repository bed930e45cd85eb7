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
    /// "ip:port"; port 0 takes a free port.
    std::string address = "127.0.0.1:0";
    /// Admin address of the node on the same VM; empty means that nothing is announced.
    std::string node_admin;
    std::uint32_t slots = 4;
    /// Requests beyond the slots wait here; more are refused with X-Not-Run.
    std::uint32_t queue_limit = 16;
    std::chrono::milliseconds service_time{5};
    /// The first requests after a start take up to five times as long during this time.
    std::chrono::milliseconds cold_start{0};
    std::uint64_t seed = 1;
};

/// What the upstream saw of one request that it started to run.
struct run_record {
    std::string request_id;
    std::string idempotency_key;
    std::string organisation;
    std::string method;
    std::string path;
    bool saw_authorization = false;
};

/// A small upstream with slots, service times, announcement, draining and gray faults that can be
/// switched on while it runs (POST /_standin/fault). Every other path is work: the answer names
/// the upstream, the organisation and the caller's X-Token; `size=N` in the query asks for a body
/// of N bytes. GET /_standin/runs lists what ran.
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
    /// Announces that it drains, waits for the requests in progress, then stops listening.
    void stop();
    void set_fault(const upstream_fault& next);
    std::string address() const;
    std::vector<run_record> runs() const;

    /// Called by the HTTP server for each request; returns the HTTP status that was sent.
    int handle(mg_connection* connection);

    /// Called by the HTTP server when the connection from this client port has closed.
    void forget(int remote_port);

private:
    enum class wait_result { ran, aborted };

    bool listen();
    void close_listener();
    int handle_control(mg_connection* connection, const std::string& path);
    int handle_work(mg_connection* connection, const std::string& path);
    bool take_slot(std::unique_lock<std::mutex>& lock, time_point deadline);
    wait_result serve(std::unique_lock<std::mutex>& lock, time_point first_seen);
    std::chrono::nanoseconds service_time(time_point now);
    bool is_stalled(time_point now, time_point first_seen) const;
    void crash();
    void announce_loop();
    void announce(const std::string& state);

    upstream_options options;
    mg_context* server = nullptr;
    std::string bound_address;
    mutable std::mutex mutex;
    std::condition_variable changed;
    upstream_fault fault;
    time_point fault_since;
    time_point started_at;
    std::uint32_t busy = 0;
    std::uint32_t waiting = 0;
    bool draining = false;
    bool stopping = false;
    bool crashed = false;
    std::map<int, time_point> connections;
    std::vector<run_record> journal;
    random_engine random;
    std::thread announcer;
    std::thread restarter;
};

} // namespace dragonflyroad::standin
