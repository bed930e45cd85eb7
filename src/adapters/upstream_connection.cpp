#include "adapters/upstream_connection.hpp"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <poll.h>
#include <sys/socket.h>

namespace dragonflyroad {
namespace {

/// Given to the library in place of the upstream's head: a body that lasts until the stream ends.
constexpr std::string_view plain_head = "HTTP/1.1 200 OK\r\n\r\n";
constexpr std::string_view bodiless_head = "HTTP/1.1 204 No Content\r\n\r\n";

enum class wait_outcome { ready, timed_out, failed };

wait_outcome wait_for(int descriptor, short events, time_point until)
{
    while (true) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - boot_clock::now());
        pollfd entry{descriptor, events, 0};
        const int count =
            poll(&entry, 1, static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, 3'600'000)));
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
    running_exchange(const outbound_request& outbound, answer_receiver& answer)
        : request(outbound),
          receiver(answer),
          reader(outbound.method,
                 [this](char* into, std::size_t size) { return this->receive(into, size); })
    {
    }

    const outbound_request& request;
    answer_receiver& receiver;
    answer_reader reader;
    int descriptor = -1;
    bool sent = false;
    bool timed_out = false;
    bool cancelled = false;
    bool head_delivered = false;
    bool ended = false;

    time_point next_limit() const
    {
        const time_point idle_limit = boot_clock::now() + this->request.idle_timeout;
        return this->reader.has_bytes() ? idle_limit : std::min(idle_limit, this->request.deadline);
    }

    long receive(char* into, std::size_t size)
    {
        const wait_outcome outcome = wait_for(this->descriptor, POLLIN, this->next_limit());
        if (outcome != wait_outcome::ready) {
            this->timed_out = outcome == wait_outcome::timed_out;
            return -1;
        }
        return recv(this->descriptor, into, size, 0);
    }

    long transmit(const char* bytes, std::size_t size)
    {
        const wait_outcome outcome = wait_for(this->descriptor, POLLOUT, this->next_limit());
        if (outcome != wait_outcome::ready) {
            this->timed_out = outcome == wait_outcome::timed_out;
            return -1;
        }
        // Set before the call: a failed call may still have passed bytes on.
        this->sent = true;
        return ::send(this->descriptor, bytes, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    }
};

namespace {

template<typename Run>
class answer_stream : public httplib::Stream {
public:
    explicit answer_stream(Run& exchange) : run(exchange) {}

    bool is_readable() const override { return true; }
    bool is_writable() const override { return true; }
    void get_remote_ip_and_port(std::string&, int&) const override {}
    void get_local_ip_and_port(std::string&, int&) const override {}
    socket_t socket() const override { return this->run.descriptor; }

    ssize_t write(const char* bytes, size_t size) override
    {
        return this->run.transmit(bytes, size);
    }

    ssize_t read(char* into, size_t size) override
    {
        if (!this->run.head_delivered && !this->deliver_head()) {
            return -1;
        }
        if (!this->head_left.empty()) {
            const std::size_t count = this->head_left.copy(into, size);
            this->head_left.remove_prefix(count);
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
        this->head_left = has_body ? plain_head : bodiless_head;
        this->run.ended = !has_body;
        this->run.cancelled = !this->run.receiver.on_head(*head);
        return !this->run.cancelled;
    }

    Run& run;
    std::string_view head_left;
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
                                              answer_receiver& receiver)
{
    running_exchange run{outbound, receiver};
    this->current = &run;
    this->reusable = false;
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(outbound.deadline - boot_clock::now());
    this->set_connection_timeout(
        std::clamp(left, std::chrono::milliseconds{1}, outbound.connect_timeout));
    httplib::Request request;
    request.method = outbound.method;
    request.path = outbound.target;
    for (const http_header& header : outbound.headers) {
        request.headers.emplace(header.name, header.value);
    }
    if (!outbound.body.empty()) {
        // A provider instead of `body`, for which the library would add a Content-Type.
        request.content_length_ = outbound.body.size();
        request.content_provider_ = [&](std::size_t offset, std::size_t length,
                                        httplib::DataSink& sink) {
            return sink.write(outbound.body.data() + offset, length);
        };
    }
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t,
                                   std::uint64_t) {
        run.cancelled = !receiver.on_body({data, size});
        return !run.cancelled;
    };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    const bool succeeded = this->send(request, response, error);
    exchange_result result = this->conclude(run, succeeded);
    result.reused = std::exchange(this->used, true);
    this->reusable = result.end == exchange_end::complete && run.reader.is_reusable() &&
                     this->is_socket_open() != 0;
    this->current = nullptr;
    return result;
}

exchange_result upstream_connection::conclude(const running_exchange& run, bool succeeded) const
{
    exchange_result result;
    result.sent = run.sent;
    if (run.cancelled || this->interrupted) {
        result.end = exchange_end::cancelled;
        result.detail = "the exchange was cancelled";
    }
    else if (run.timed_out) {
        result.end = exchange_end::timed_out;
        result.detail = run.head_delivered ? "the answer made no progress" : "no answer in time";
    }
    else if (!run.reader.fault().empty()) {
        result.end = exchange_end::invalid_answer;
        result.detail = run.reader.fault();
    }
    else if (succeeded && run.ended) {
        result.end = exchange_end::complete;
    }
    else {
        result.end = run.sent ? exchange_end::broken : exchange_end::connect_failed;
        result.detail = !run.sent            ? "no connection"
                        : run.head_delivered ? "the answer was cut short"
                                             : "the connection broke before the answer";
    }
    return result;
}

bool upstream_connection::process_socket(const Socket& opened,
                                         std::function<bool(httplib::Stream&)> callback)
{
    if (!this->open(opened.sock)) {
        return false;
    }
    this->current->descriptor = opened.sock;
    answer_stream<running_exchange> stream{*this->current};
    const bool succeeded = callback(stream);
    this->release();
    return succeeded;
}

bool upstream_connection::open(int opened)
{
    const std::scoped_lock lock{this->descriptor_mutex};
    this->descriptor = opened;
    return !this->interrupted;
}

void upstream_connection::release()
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

bool upstream_connection::is_quiet() const
{
    pollfd entry{this->socket(), POLLIN, 0};
    return entry.fd >= 0 && poll(&entry, 1, 0) == 0;
}

} // namespace dragonflyroad
