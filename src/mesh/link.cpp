#include "mesh/link.hpp"

#include "adapters/log.hpp"
#include "core/failure.hpp"

#include <algorithm>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/write.hpp>

namespace dragonflyroad {
namespace {

/// Unsent bytes of heads after which the link to a peer that does not read is closed. Two such
/// links fit into half of the smallest VM's memory. Bodies are bounded by the memory budget.
constexpr std::size_t max_unsent_bytes = 32U << 20U;

/// Limits for a peer that has not sent its hello: the message's size, which allows for the ids of
/// thousands of open runs, and the time, which allows for a VM that is suspended for seconds.
constexpr std::size_t max_stranger_message_bytes = 64U << 10U;
constexpr std::chrono::milliseconds hello_timeout{10'000};

/// Output is written in steps of this size, so that its progress is seen.
constexpr std::size_t progress_step_bytes = 256U << 10U;

/// Interval at which a link with expected traffic is checked. A ping is sent when nothing was
/// received for more than half of it.
constexpr std::chrono::milliseconds check_interval{400};

/// Time without data after which a link with expected traffic is closed. Longer than the longest
/// pause of a VM that is slowed down about five times. Kept short because a request on the link can
/// be retried within its latency objective only if the objective exceeds this time; the objectives
/// are 1 s or more.
constexpr std::chrono::milliseconds silence_timeout{1'200};

/// TCP_USER_TIMEOUT: the kernel closes the connection when sent data is unacknowledged for this
/// long.
constexpr std::chrono::milliseconds unacknowledged_timeout{2'500};

} // namespace

void set_link_socket_options(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    using user_timeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket.set_option(user_timeout{static_cast<int>(unacknowledged_timeout.count())}, ignored);
}

link::link(boost::asio::ip::tcp::socket connected, std::string peer, callbacks functions)
    : socket(std::move(connected)),
      timer(socket.get_executor()),
      peer_name(std::move(peer)),
      handlers(std::move(functions)),
      head_reservation(this->handlers.memory)
{
}

void link::start()
{
    set_link_socket_options(this->socket);
    this->last_received_at = boot_clock::now();
    this->identified_by = this->last_received_at + hello_timeout;
    this->read();
    this->arm_timer();
}

void link::send(const link_message& message)
{
    if (this->is_closed || this->has_shut_down) {
        return;
    }
    encoded_link_message encoded = encode_link_parts(message);
    std::string prefix;
    append_length(prefix, link_length_bytes + encoded.head.size() + encoded.body.size());
    append_length(prefix, encoded.head.size());
    this->pending_head_bytes += prefix.size() + encoded.head.size();
    if (this->pending_head_bytes > max_unsent_bytes) {
        this->close("the peer does not read: " + std::to_string(this->pending_head_bytes) +
                    " unsent bytes exceed the limit of " + std::to_string(max_unsent_bytes));
        return;
    }
    if (this->pending_output.empty() || !this->pending_output.back().body.empty()) {
        this->pending_output.emplace_back();
    }
    output_part& part = this->pending_output.back();
    part.head.append(prefix).append(encoded.head);
    part.body = std::move(encoded.body);
    this->write();
}

void link::close(const std::string& reason)
{
    if (std::exchange(this->is_closed, true)) {
        return;
    }
    const auto self = this->shared_from_this();
    boost::system::error_code ignored;
    this->timer.cancel();
    this->socket.close(ignored);
    const auto functions = std::exchange(this->handlers, {});
    functions.closed(*this, reason);
}

void link::finish()
{
    this->is_finishing = true;
    this->shut_down_when_sent();
}

void link::shut_down_when_sent()
{
    if (this->is_finishing && !this->is_closed && !this->is_writing &&
        this->pending_output.empty() && !std::exchange(this->has_shut_down, true)) {
        boost::system::error_code ignored;
        this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    }
}

void link::read()
{
    this->socket.async_read_some(boost::asio::buffer(this->input),
                                 [self = this->shared_from_this()](
                                     const boost::system::error_code& error, std::size_t size) {
                                     if (self->is_closed) {
                                         return;
                                     }
                                     if (error) {
                                         self->close(error.message());
                                         return;
                                     }
                                     self->last_received_at = boot_clock::now();
                                     self->on_received({self->input.data(), size});
                                     if (!self->is_closed) {
                                         self->read();
                                     }
                                 });
}

void link::on_received(std::string_view bytes)
{
    while (!this->is_closed && !bytes.empty()) {
        if (this->incoming) {
            this->take_body(bytes);
            continue;
        }
        this->received.append(bytes);
        bytes = {};
        if (!this->read_head()) {
            return;
        }
        if (this->incoming) {
            // What follows the head belongs to the body.
            const std::string rest = std::exchange(this->received, {});
            std::string_view unread{rest};
            while (!this->is_closed && this->incoming && !unread.empty()) {
                this->take_body(unread);
            }
            if (!this->is_closed && !unread.empty()) {
                this->on_received(unread);
            }
        }
    }
}

bool link::read_head()
{
    constexpr std::size_t prefix_bytes = 2 * link_length_bytes;
    std::size_t begin = 0;
    while (!this->incoming && this->received.size() - begin >= prefix_bytes) {
        const std::string_view unread = std::string_view{this->received}.substr(begin);
        const std::size_t size = read_length(unread);
        const std::size_t head_size = read_length(unread.substr(link_length_bytes));
        const std::size_t max_size =
            this->is_identified ? max_link_message_bytes : max_stranger_message_bytes;
        if (size > max_size || head_size > max_link_head_bytes ||
            size < head_size + link_length_bytes) {
            this->close("received a message of " + std::to_string(size) + " bytes with a head of " +
                        std::to_string(head_size) + " bytes, the limit is " +
                        std::to_string(max_size));
            return false;
        }
        if (unread.size() - prefix_bytes < head_size) {
            if (head_size > small_body_bytes &&
                !this->head_reservation.resize(head_size, memory_use::large_response)) {
                this->close("no memory for a head of " + std::to_string(head_size) + " bytes");
                return false;
            }
            break;
        }
        this->head_reservation.reset();
        const std::size_t body_bytes = size - link_length_bytes - head_size;
        auto message =
            decode_link_head(unread.substr(prefix_bytes, head_size), body_bytes, this->peer_name);
        begin += prefix_bytes + head_size;
        if (!message) {
            this->close(last_failure().detail);
            return false;
        }
        if (body_bytes > 0) {
            this->begin_body(std::move(*message), body_bytes);
        }
        else {
            this->dispatch(std::move(*message));
        }
        if (this->is_closed) {
            return false;
        }
    }
    this->received.erase(0, begin);
    return true;
}

void link::begin_body(link_message message, std::size_t body_bytes)
{
    const bool is_response = std::holds_alternative<response_message>(message);
    memory_use use = is_response ? memory_use::large_response : memory_use::large_request;
    if (body_bytes <= small_body_bytes) {
        use = memory_use::small_body;
    }
    this->incoming.emplace(
        incoming_message{std::move(message), memory_reservation{this->handlers.memory}, {}, 0, 0});
    this->incoming->body_bytes = body_bytes;
    this->incoming->is_discarded = !this->incoming->reservation.resize(body_bytes, use);
    if (!this->incoming->is_discarded) {
        this->incoming->body.reserve(body_bytes);
    }
}

void link::take_body(std::string_view& bytes)
{
    incoming_message& current = *this->incoming;
    const std::size_t count = std::min(bytes.size(), current.body_bytes - current.received_bytes);
    if (!current.is_discarded) {
        current.body.append(bytes.substr(0, count));
    }
    current.received_bytes += count;
    bytes.remove_prefix(count);
    if (current.received_bytes == current.body_bytes) {
        this->end_body();
    }
}

void link::end_body()
{
    incoming_message complete = std::move(*this->incoming);
    this->incoming.reset();
    if (!complete.is_discarded) {
        set_body(complete.message,
                 shared_bytes{std::move(complete.body), std::move(complete.reservation)});
        this->dispatch(std::move(complete.message));
        return;
    }
    log_line{"message_discarded"}
        .add("peer", this->peer_name)
        .add("bytes", complete.body_bytes)
        .add("detail", "no memory for the body");
    if (const auto* run = std::get_if<run_message>(&complete.message)) {
        // Nothing of the request has reached the upstream.
        this->send(failed_message{run->id, run_failure::not_run, "no memory for the body"});
    }
    else if (const auto* response = std::get_if<response_message>(&complete.message)) {
        this->dispatch(
            failed_message{response->id, run_failure::unknown, "no memory for the response"});
    }
}

void link::dispatch(link_message message)
{
    if (std::holds_alternative<ping_message>(message)) {
        this->send(pong_message{});
    }
    else if (!std::holds_alternative<pong_message>(message)) {
        this->handlers.receive(*this, std::move(message));
    }
}

void link::write()
{
    if (this->is_writing || this->is_closed || this->pending_output.empty()) {
        return;
    }
    this->is_writing = true;
    this->writing = std::exchange(this->pending_output, {});
    this->pending_head_bytes = 0;
    std::vector<boost::asio::const_buffer> buffers;
    for (const output_part& part : this->writing) {
        buffers.push_back(boost::asio::buffer(part.head));
        if (!part.body.empty()) {
            buffers.push_back(boost::asio::buffer(part.body.str()));
        }
    }
    boost::asio::async_write(
        this->socket, buffers,
        [self = this->shared_from_this()](const boost::system::error_code& error,
                                          std::size_t written) -> std::size_t {
            // A long body on a slow link delays the replies to pings; that the peer reads it shows
            // that the link is alive. Shorter output may just fill the kernel's buffer.
            if (written > progress_step_bytes) {
                self->last_received_at = boot_clock::now();
            }
            return error ? 0 : progress_step_bytes;
        },
        [self = this->shared_from_this()](const boost::system::error_code& error, std::size_t) {
            self->is_writing = false;
            self->writing.clear();
            if (self->is_closed) {
                return;
            }
            if (error) {
                self->close(error.message());
                return;
            }
            self->write();
            self->shut_down_when_sent();
        });
}

void link::arm_timer()
{
    this->timer.expires_after(check_interval);
    this->timer.async_wait([weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self != nullptr && !self->is_closed) {
            self->on_timer();
        }
    });
}

void link::on_timer()
{
    const time_point now = boot_clock::now();
    if (!this->is_identified && now > this->identified_by) {
        this->close("no hello");
        return;
    }
    if (!this->handlers.expects_traffic()) {
        this->last_received_at = now;
    }
    else if (now > this->last_received_at + silence_timeout) {
        this->close("silent");
        return;
    }
    else if (now > this->last_received_at + check_interval / 2) {
        this->send(ping_message{});
    }
    this->arm_timer();
}

} // namespace dragonflyroad
