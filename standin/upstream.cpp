#include "standin/upstream.hpp"

#include "adapters/address.hpp"
#include "adapters/civet_server_stop.hpp"
#include "core/digest.hpp"
#include "core/failure.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <optional>
#include <utility>

#include <civetweb.h>
#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace dragonflyroad::standin {
namespace {

constexpr std::chrono::milliseconds renewal_interval{500};
constexpr double cold_start_factor = 5.0;

int handle_connection_request(mg_connection* connection, void* self)
{
    return static_cast<upstream*>(self)->handle_request(connection);
}

void on_connection_closed(const mg_connection* connection)
{
    auto* const self = static_cast<upstream*>(mg_get_user_data(mg_get_context(connection)));
    const auto* info = mg_get_request_info(connection);
    if (self != nullptr && info != nullptr) {
        self->remove_connection(info->remote_port);
    }
}

std::string header_value(mg_connection* connection, const char* name)
{
    const char* value = mg_get_header(connection, name);
    return value == nullptr ? std::string{} : std::string{value};
}

std::string read_body(mg_connection* connection)
{
    std::string body;
    std::array<char, 16'384> buffer{};
    for (int count = mg_read(connection, buffer.data(), buffer.size()); count > 0;
         count = mg_read(connection, buffer.data(), buffer.size())) {
        body.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return body;
}

int send_response(mg_connection* connection, int status, const std::string& body,
                  const std::string& extra_headers = "")
{
    const std::string head = fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{}\r\n", status,
        mg_get_response_code_text(connection, status), body.size(), extra_headers);
    mg_write(connection, head.data(), head.size());
    const auto* info = mg_get_request_info(connection);
    if (std::string_view{info->request_method} != "HEAD") {
        mg_write(connection, body.data(), body.size());
    }
    return status;
}

/// Refuses a request that was not run: 503 with X-Not-Run.
int send_not_run(mg_connection* connection)
{
    return send_response(connection, 503, R"({"error":"shed"})", "X-Not-Run: true\r\n");
}

/// Value of `size=N` in the query, in bytes; 0 if it is absent.
std::size_t requested_size(const char* query)
{
    constexpr std::size_t max_response_bytes = 64U << 20U;
    const std::string text = query == nullptr ? "" : query;
    const auto position = text.find("size=");
    if (position == std::string::npos) {
        return 0;
    }
    return std::min<std::size_t>(max_response_bytes,
                                 std::strtoull(text.c_str() + position + 5, nullptr, 10));
}

time_point request_deadline(mg_connection* connection, time_point now)
{
    constexpr std::int64_t default_ms = 30'000;
    const std::string text = header_value(connection, "X-Deadline-Ms");
    const std::int64_t left = text.empty() ? default_ms : std::strtoll(text.c_str(), nullptr, 10);
    return now + std::chrono::milliseconds{std::clamp<std::int64_t>(left, 0, default_ms)};
}

} // namespace

upstream::upstream(upstream_options initial)
    : options(std::move(initial)), random(this->options.seed)
{
}

upstream::~upstream()
{
    this->stop();
}

bool upstream::start()
{
    this->bound_address = this->options.address;
    if (!this->listen()) {
        return false;
    }
    if (!this->options.node_admin.empty()) {
        this->announce_thread = std::thread{[this] { this->announce_loop(); }};
    }
    return true;
}

bool upstream::listen()
{
    std::array<const char*, 13> settings{"listening_ports",
                                         this->bound_address.c_str(),
                                         "num_threads",
                                         "256",
                                         "enable_keep_alive",
                                         "yes",
                                         "keep_alive_timeout_ms",
                                         "10000",
                                         "tcp_nodelay",
                                         "1",
                                         "request_timeout_ms",
                                         "30000",
                                         nullptr};
    mg_callbacks callbacks{};
    callbacks.connection_close = on_connection_closed;
    mg_context* const started = mg_start(&callbacks, this, settings.data());
    if (started == nullptr) {
        fail("listen", this->bound_address, "the address cannot be bound");
        return false;
    }
    mg_server_port port{};
    mg_get_server_ports(started, 1, &port);
    mg_set_request_handler(started, "/", handle_connection_request, this);
    const std::scoped_lock lock{this->mutex};
    this->bound_address = this->bound_address.substr(0, this->bound_address.rfind(':') + 1) +
                          std::to_string(port.port);
    this->server = started;
    this->crashed = false;
    this->started_at = boot_clock::now();
    this->connections.clear();
    return true;
}

void upstream::close_listener()
{
    mg_context* running = nullptr;
    {
        const std::scoped_lock lock{this->mutex};
        running = std::exchange(this->server, nullptr);
    }
    if (running != nullptr) {
        const auto listening = parse_address(this->address());
        stop_civet_server(running, listening.value_or(ip_address{}));
    }
}

void upstream::stop()
{
    {
        std::unique_lock lock{this->mutex};
        if (this->stopping) {
            return;
        }
        this->draining = true;
    }
    if (!this->options.node_admin.empty()) {
        this->announce("draining");
    }
    {
        // Requests that a fault stalls never finish, so draining does not wait while a fault is
        // set.
        std::unique_lock lock{this->mutex};
        constexpr std::chrono::seconds drain_limit{10};
        this->changed.wait_for(lock, drain_limit, [this] {
            return this->busy_slots + this->queued == 0 || this->fault.mode != fault_mode::none;
        });
        this->stopping = true;
    }
    this->changed.notify_all();
    if (this->announce_thread.joinable()) {
        this->announce_thread.join();
    }
    if (this->restart_thread.joinable()) {
        this->restart_thread.join();
    }
    this->close_listener();
}

void upstream::set_fault(const upstream_fault& next)
{
    {
        const std::scoped_lock lock{this->mutex};
        this->fault = next;
        this->fault_set_at = boot_clock::now();
    }
    this->changed.notify_all();
}

std::string upstream::address() const
{
    const std::scoped_lock lock{this->mutex};
    return this->bound_address;
}

std::vector<run_record> upstream::runs() const
{
    const std::scoped_lock lock{this->mutex};
    return this->run_records;
}

void upstream::remove_connection(int remote_port)
{
    const std::scoped_lock lock{this->mutex};
    this->connections.erase(remote_port);
}

int upstream::handle_request(mg_connection* connection)
{
    const auto* info = mg_get_request_info(connection);
    const std::string path = info->local_uri_raw == nullptr ? "/" : info->local_uri_raw;
    if (path.starts_with("/_standin/")) {
        return this->handle_control(connection, path);
    }
    return this->handle_upstream_request(connection, path);
}

int upstream::handle_control(mg_connection* connection, const std::string& path)
{
    if (path == "/_standin/health") {
        return send_response(connection, 200, R"({"status":"ok"})");
    }
    if (path == "/_standin/load") {
        const std::scoped_lock lock{this->mutex};
        return send_response(connection, 200, fmt::format(R"({{"busy":{}}})", this->busy_slots));
    }
    if (path == "/_standin/fault") {
        const auto next = parse_fault(read_body(connection));
        if (!next) {
            return send_response(connection, 400,
                                 nlohmann::json{{"error", last_failure().detail}}.dump());
        }
        this->set_fault(*next);
        return send_response(connection, 200, "{}");
    }
    if (path == "/_standin/runs") {
        nlohmann::json list = nlohmann::json::array();
        for (const run_record& run : this->runs()) {
            list.push_back({{"request_id", run.request_id},
                            {"idempotency_key", run.idempotency_key},
                            {"organisation", run.organisation},
                            {"method", run.method},
                            {"path", run.path},
                            {"saw_authorization", run.saw_authorization}});
        }
        return send_response(connection, 200, list.dump());
    }
    return send_response(connection, 404, R"({"error":"no such control"})");
}

bool upstream::acquire_slot(std::unique_lock<std::mutex>& lock, time_point deadline)
{
    if (this->draining || this->fault.mode == fault_mode::shed ||
        this->queued >= this->options.queue_limit) {
        return false;
    }
    ++this->queued;
    const auto left = deadline - boot_clock::now();
    const bool free = this->changed.wait_for(lock, left, [this] {
        return this->stopping || this->crashed || this->busy_slots < this->options.slots;
    });
    --this->queued;
    if (!free || this->stopping || this->crashed) {
        return false;
    }
    ++this->busy_slots;
    return true;
}

int upstream::handle_upstream_request(mg_connection* connection, const std::string& path)
{
    const auto* info = mg_get_request_info(connection);
    const time_point now = boot_clock::now();
    const time_point deadline = request_deadline(connection, now);
    read_body(connection);
    const std::string token = header_value(connection, "X-Token");
    const std::string organisation = header_value(connection, "X-Organisation");
    std::unique_lock lock{this->mutex};
    const time_point first_seen =
        this->connections.try_emplace(info->remote_port, now).first->second;
    if (!this->acquire_slot(lock, deadline)) {
        lock.unlock();
        return send_not_run(connection);
    }
    this->run_records.push_back({header_value(connection, "X-Request-Id"),
                                 header_value(connection, "Idempotency-Key"), organisation,
                                 info->request_method, path,
                                 mg_get_header(connection, "Authorization") != nullptr});
    if (this->fault.mode == fault_mode::crash &&
        path.find(this->fault.match) != std::string::npos) {
        this->crash();
    }
    const run_outcome result = this->run_request(lock, first_seen);
    if (this->crashed) {
        // Close the listener before the connection, as a process exit does: a client whose
        // connection breaks must find that the address refuses new connections.
        constexpr std::chrono::milliseconds listener_close_time{100};
        this->changed.wait_for(lock, listener_close_time, [this] { return this->stopping; });
    }
    --this->busy_slots;
    const std::string self = this->bound_address;
    lock.unlock();
    this->changed.notify_all();
    if (result == run_outcome::aborted) {
        mg_disable_connection_keep_alive(connection);
        return 200; // Nothing was written, so the connection closes without a response.
    }
    nlohmann::json response{{"upstream", self}, {"organisation", organisation}, {"token", token}};
    std::string body = response.dump();
    const std::size_t size = requested_size(info->query_string);
    if (size > body.size()) {
        body.append(size - body.size(), '.');
    }
    return send_response(connection, 200, body, fmt::format("X-Digest: {}\r\n", sha256_hex(body)));
}

std::chrono::nanoseconds upstream::service_time(time_point now)
{
    double factor = 1.0;
    const auto age = now - this->started_at;
    if (age < this->options.cold_start) {
        const double progress = std::chrono::duration<double>(age) /
                                std::chrono::duration<double>(this->options.cold_start);
        factor = cold_start_factor - ((cold_start_factor - 1.0) * progress);
    }
    const bool is_slow =
        this->fault.mode == fault_mode::slow ||
        (this->fault.mode == fault_mode::slow_share && uniform(this->random) < this->fault.share);
    if (is_slow) {
        factor *= this->fault.factor;
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(this->options.service_time *
                                                                factor);
}

bool upstream::is_stalled(time_point now, time_point first_seen) const
{
    switch (this->fault.mode) {
    case fault_mode::stall:
        return true;
    case fault_mode::silent_connections:
        return first_seen < this->fault_set_at;
    case fault_mode::flap:
        return ((now - this->fault_set_at) / this->fault.period) % 2 == 0;
    default:
        return false;
    }
}

upstream::run_outcome upstream::run_request(std::unique_lock<std::mutex>& lock,
                                            time_point first_seen)
{
    const time_point done_at = boot_clock::now() + this->service_time(boot_clock::now());
    constexpr std::chrono::milliseconds stall_poll_interval{50};
    while (!this->stopping && !this->crashed) {
        const time_point now = boot_clock::now();
        const bool stalled = this->is_stalled(now, first_seen);
        if (!stalled && now >= done_at) {
            return run_outcome::completed;
        }
        const auto left = stalled ? duration{stall_poll_interval} : done_at - now;
        this->changed.wait_for(lock, left);
    }
    return run_outcome::aborted;
}

void upstream::crash()
{
    if (this->crashed) {
        return;
    }
    this->crashed = true;
    this->changed.notify_all();
    if (this->restart_thread.joinable()) {
        // The previous restart is complete: clearing `crashed` was its last step under the lock.
        this->restart_thread.join();
    }
    this->restart_thread = std::thread{[this] {
        this->close_listener();
        std::unique_lock lock{this->mutex};
        this->changed.wait_for(lock, this->fault.period, [this] { return this->stopping; });
        if (!this->stopping) {
            lock.unlock();
            this->listen();
        }
    }};
}

void upstream::announce(const std::string& state)
{
    httplib::Client client{"http://" + this->options.node_admin};
    client.set_connection_timeout(std::chrono::milliseconds{500});
    client.set_read_timeout(std::chrono::milliseconds{500});
    const nlohmann::json body{{"service", this->options.service},
                              {"address", this->address()},
                              {"slots", this->options.slots},
                              {"state", state}};
    client.Post("/v1/upstreams", body.dump(), "application/json");
}

void upstream::announce_loop()
{
    std::unique_lock lock{this->mutex};
    while (!this->stopping) {
        const bool present = !this->crashed;
        const std::string state = this->draining ? "draining" : "ready";
        lock.unlock();
        if (present) {
            this->announce(state);
        }
        lock.lock();
        this->changed.wait_for(lock, renewal_interval, [this] { return this->stopping; });
    }
}

} // namespace dragonflyroad::standin
