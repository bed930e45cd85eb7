#include "adapters/upstream_connection.hpp"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <poll.h>
#include <sys/socket.h>

namespace dragonflyroad {
namespace {

/// Passed to cpp-httplib in place of the upstream's head. As it gives no length, the library reads
/// the body until the stream ends.
constexpr std::string_view synthetic_head = "HTTP/1.1 200 OK\r\n\r\n";
constexpr std::string_view synthetic_bodiless_head = "HTTP/1.1 204 No Content\r\n\r\n";

/// Bodies up to this size are sent together with the head, in one packet if they fit.
constexpr std::size_t max_coalesced_body = 16U << 10U;

std::string serialise_head(const outbound_request& request)
{
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    for (const http_header& header : request.headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    const bool may_have_body = request.method != "GET" && request.method != "HEAD";
    if (!request.body.empty() || may_have_body) {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n";
}

enum class wait_outcome { ready, timed_out, failed };

wait_outcome poll_until(int descriptor, short events, time_point until)
{
    while (true) {
        const auto remaining =
            std::chrono::ceil<std::chrono::milliseconds>(until - boot_clock::now());
        pollfd entry{descriptor, events, 0};
        const int count = poll(
            &entry, 1, static_cast<int>(std::clamp<std::int64_t>(remaining.count(), 0, 3'600'000)));
        if (count > 0) {
            return wait_outcome::ready;
        }
        if (count == 0) {
            return wait_outcome::timed_out;
        }
        if (errno != EINTR) {
            return wait_outcome::failed;
        }
    }
}

} // namespace

struct upstream_connection::running_exchange {
    running_exchange(const outbound_request& outbound, response_receiver& response_target)
        : request(outbound),
          receiver(response_target),
          reader(outbound.method,
                 [this](char* into, std::size_t size) { return this->receive(into, size); })
    {
    }

    const outbound_request& request;
    response_receiver& receiver;
    response_reader reader;
    int descriptor = -1;
    bool sent = false;
    bool timed_out = false;
    bool cancelled = false;
    bool head_delivered = false;
    bool ended = false;

    time_point next_deadline() const
    {
        const time_point idle_limit = boot_clock::now() + this->request.idle_timeout;
        return this->reader.has_received_bytes() ? idle_limit
                                                 : std::min(idle_limit, this->request.deadline);
    }

    long receive(char* into, std::size_t size)
    {
        const wait_outcome outcome = poll_until(this->descriptor, POLLIN, this->next_deadline());
        if (outcome != wait_outcome::ready) {
            this->timed_out = outcome == wait_outcome::timed_out;
            return -1;
        }
        return recv(this->descriptor, into, size, 0);
    }

    bool transmit_all(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const long count = this->transmit(bytes.data(), bytes.size());
            if (count <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    long transmit(const char* bytes, std::size_t size)
    {
        const wait_outcome outcome = poll_until(this->descriptor, POLLOUT, this->next_deadline());
        if (outcome != wait_outcome::ready) {
            this->timed_out = outcome == wait_outcome::timed_out;
            return -1;
        }
        // Set before the call, because a failed call may still have sent bytes.
        this->sent = true;
        return ::send(this->descriptor, bytes, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    }
};

namespace {

template<typename Run>
class exchange_stream : public httplib::Stream {
public:
    explicit exchange_stream(Run& exchange) : run(exchange) {}

    bool is_readable() const override { return true; }
    bool is_writable() const override { return true; }
    void get_remote_ip_and_port(std::string&, int&) const override {}
    void get_local_ip_and_port(std::string&, int&) const override {}
    socket_t socket() const override { return this->run.descriptor; }

    /// cpp-httplib writes its request in one call, with headers that the client did not send. This
    /// sends the original request instead.
    ssize_t write(const char*, size_t size) override
    {
        if (std::exchange(this->written, true)) {
            return -1;
        }
        const outbound_request& request = this->run.request;
        std::string text = serialise_head(request);
        if (request.body.size() <= max_coalesced_body) {
            text.append(request.body);
            return this->run.transmit_all(text) ? static_cast<ssize_t>(size) : -1;
        }
        const bool is_sent = this->run.transmit_all(text) && this->run.transmit_all(request.body);
        return is_sent ? static_cast<ssize_t>(size) : -1;
    }

    ssize_t read(char* into, size_t size) override
    {
        if (!this->run.head_delivered && !this->deliver_head()) {
            return -1;
        }
        if (!this->unread_head.empty()) {
            const std::size_t count = this->unread_head.copy(into, size);
            this->unread_head.remove_prefix(count);
            return static_cast<ssize_t>(count);
        }
        const long count = this->run.reader.read_body(into, size);
        this->run.ended = count == 0;
        return count;
    }

private:
    bool deliver_head()
    {
        const auto head = this->run.reader.read_head();
        if (!head) {
            return false;
        }
        this->run.head_delivered = true;
        const bool has_body =
            head->status != 204 && head->status != 304 && this->run.request.method != "HEAD";
        this->unread_head = has_body ? synthetic_head : synthetic_bodiless_head;
        this->run.ended = !has_body;
        this->run.cancelled = !this->run.receiver.on_head(*head);
        return !this->run.cancelled;
    }

    Run& run;
    std::string_view unread_head;
    bool written = false;
};

} // namespace

upstream_connection::upstream_connection(const std::string& host, int port)
    : httplib::ClientImpl(host, port)
{
    this->set_keep_alive(true);
    this->set_tcp_nodelay(true);
    this->set_url_encode(false);
    this->set_decompress(false);
    this->set_follow_location(false);
}

exchange_result upstream_connection::exchange(const outbound_request& outbound,
                                              response_receiver& receiver)
{
    running_exchange run{outbound, receiver};
    this->current = &run;
    this->reusable = false;
    const auto remaining =
        std::chrono::ceil<std::chrono::milliseconds>(outbound.deadline - boot_clock::now());
    this->set_connection_timeout(
        std::clamp(remaining, std::chrono::milliseconds{1}, outbound.connect_timeout));
    httplib::Request request;
    request.method = outbound.method;
    request.path = outbound.target;
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t,
                                   std::uint64_t) {
        run.cancelled = !receiver.on_body({data, size});
        return !run.cancelled;
    };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    const bool succeeded = this->send(request, response, error);
    exchange_result result = this->make_result(run, succeeded);
    result.reused = std::exchange(this->used, true);
    this->reusable = result.end == exchange_outcome::complete && run.reader.is_reusable() &&
                     this->is_socket_open() != 0;
    this->current = nullptr;
    return result;
}

bool upstream_connection::connect(std::chrono::milliseconds timeout)
{
    this->set_connection_timeout(timeout);
    httplib::Error error = httplib::Error::Success;
    const std::scoped_lock lock{this->socket_mutex_};
    if (!this->socket_.is_open() && !this->create_and_connect_socket(this->socket_, error)) {
        return false;
    }
    this->shutdown_socket(this->socket_);
    this->close_socket(this->socket_);
    return true;
}

exchange_result upstream_connection::make_result(const running_exchange& run, bool succeeded) const
{
    exchange_result result;
    result.sent = run.sent;
    if (run.cancelled || this->interrupted) {
        result.end = exchange_outcome::cancelled;
        result.detail = "the exchange was cancelled";
    }
    else if (run.timed_out) {
        result.end = exchange_outcome::timed_out;
        result.detail = run.head_delivered ? "the answer made no progress" : "no answer in time";
    }
    else if (!run.reader.invalid_reason().empty()) {
        result.end = exchange_outcome::invalid_answer;
        result.detail = run.reader.invalid_reason();
    }
    else if (succeeded && run.ended) {
        result.end = exchange_outcome::complete;
    }
    else {
        result.end = run.sent ? exchange_outcome::broken : exchange_outcome::connect_failed;
        result.detail = !run.sent            ? "no connection"
                        : run.head_delivered ? "the answer was cut short"
                                             : "the connection broke before the answer";
    }
    return result;
}

bool upstream_connection::process_socket(const Socket& opened,
                                         std::function<bool(httplib::Stream&)> callback)
{
    if (!this->set_descriptor(opened.sock)) {
        return false;
    }
    this->current->descriptor = opened.sock;
    exchange_stream<running_exchange> stream{*this->current};
    const bool succeeded = callback(stream);
    this->clear_descriptor();
    return succeeded;
}

bool upstream_connection::set_descriptor(int opened)
{
    const std::scoped_lock lock{this->descriptor_mutex};
    this->descriptor = opened;
    return !this->interrupted;
}

void upstream_connection::clear_descriptor()
{
    const std::scoped_lock lock{this->descriptor_mutex};
    this->descriptor = -1;
}

void upstream_connection::interrupt()
{
    const std::scoped_lock lock{this->descriptor_mutex};
    this->interrupted = true;
    if (this->descriptor >= 0) {
        shutdown(this->descriptor, SHUT_RDWR);
    }
}

bool upstream_connection::has_no_pending_input() const
{
    pollfd entry{this->socket(), POLLIN, 0};
    return entry.fd >= 0 && poll(&entry, 1, 0) == 0;
}

} // namespace dragonflyroad
