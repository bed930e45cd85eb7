#include "mesh/server_connection.hpp"

#include <algorithm>
#include <utility>

#include "adapters/log.hpp"

#include <boost/asio/write.hpp>

namespace dragonflyroad {
namespace {

/// Upper bound on the unanswered requests of one connection; further bytes stay in the socket.
constexpr std::size_t max_pipelined_requests = 16;

/// How long a connection stays open after its last response, for the caller to read it: one second
/// suffices for a slow link. A rejected caller may still be sending; closing a socket with unread
/// bytes resets the connection, and the caller could lose the response.
constexpr std::chrono::milliseconds close_delay{1'000};
constexpr std::chrono::milliseconds rejected_close_delay{3'000};

/// Memory of a parsed head that the reservation of its connection covers: some twenty fields.
constexpr std::size_t covered_head_bytes = 8U << 10U;

/// Bytes of a response that are written before its progress is recorded.
constexpr std::size_t write_step_bytes = 64U << 10U;

/// Bytes that are read during a stop without being decoded, so that the end of the connection is
/// noticed. What a pipelining client has sent is below this.
constexpr std::size_t max_undecoded_bytes = 16U << 10U;

} // namespace

server_connection::server_connection(event_loop_http_server& owner,
                                     boost::asio::ip::tcp::socket accepted, origin from)
    : server(owner),
      socket(std::move(accepted)),
      timer(owner.context),
      source(std::move(from)),
      decoder(owner.handlers.limits().header_bytes, owner.handlers.limits().body_bytes),
      head_reservation(owner.handlers.bounds.memory),
      body_reservation(owner.handlers.bounds.memory),
      last_completed_at(boot_clock::now())
{
}

void server_connection::start()
{
    this->record_input();
    this->arm_timer();
    this->read();
}

void server_connection::close()
{
    if (std::exchange(this->is_closed, true)) {
        return;
    }
    const auto self = this->shared_from_this();
    boost::system::error_code ignored;
    this->timer.cancel();
    this->socket.close(ignored);
    this->head_reservation.reset();
    this->body_reservation.reset();
    this->buffer = {};
    for (const request_pointer& entry : this->pipeline) {
        if (entry->is_started && !entry->answer && entry->served != nullptr) {
            entry->served->cancel();
        }
        entry->served.reset();
    }
    this->server.unanswered -= this->pipeline.size();
    this->pipeline.clear();
    this->server.connections.erase(self);
}

void server_connection::answer_before_stop()
{
    const std::deque<request_pointer> open = this->pipeline;
    for (const request_pointer& entry : open) {
        // Answering releases the served request, so the loop holds it until the call has returned.
        const auto served = entry->served;
        if (!this->is_closed && !entry->answer && served != nullptr) {
            served->answer_before_stop();
        }
    }
}

bool server_connection::has_unread_input() const
{
    boost::system::error_code error;
    return this->accepts_requests && this->socket.available(error) > 0 && !error;
}

void server_connection::read()
{
    if (this->is_closed || this->is_reading || this->pipeline.size() >= max_pipelined_requests ||
        (this->is_finishing() && this->buffer.size() >= max_undecoded_bytes)) {
        return;
    }
    this->is_reading = true;
    this->socket.async_read_some(boost::asio::buffer(this->input),
                                 [self = this->shared_from_this()](
                                     const boost::system::error_code& error, std::size_t size) {
                                     self->is_reading = false;
                                     if (error) {
                                         self->close();
                                         return;
                                     }
                                     self->on_read(size);
                                 });
}

void server_connection::on_read(std::size_t size)
{
    if (this->is_closed) {
        return;
    }
    // After the last request that is accepted, what arrives is read only to detect the end of the
    // connection.
    if (this->accepts_requests) {
        this->buffer.append(this->input.data(), size);
        this->decode();
    }
    this->read();
}

void server_connection::decode()
{
    while (!this->is_closed && this->accepts_requests && !this->buffer.empty() &&
           this->pipeline.size() < max_pipelined_requests && !this->is_finishing()) {
        decode_state state = this->decoder.decode(this->buffer);
        const bool is_sound = state == decode_state::incomplete || state == decode_state::complete;
        if (is_sound && (!this->reserve_head() || !this->reserve_body())) {
            state = decode_state::memory_short;
        }
        if (state == decode_state::incomplete) {
            if (this->decoder.take_expect_continue() && this->pipeline.empty()) {
                static const std::string continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
                boost::system::error_code ignored;
                this->socket.write_some(boost::asio::buffer(continue_response), ignored);
            }
            break;
        }
        if (state != decode_state::complete) {
            this->reject(state);
            break;
        }
        this->add_request(this->decoder.take(std::move(this->body_reservation)));
        this->reset_decoder();
        this->head_deadline = {};
        this->body_deadline = {};
    }
    this->start_requests();
    this->record_input();
    this->arm_timer();
}

void server_connection::reset_decoder()
{
    const caller_limits limits = this->server.handlers.limits();
    this->decoder = request_decoder{limits.header_bytes, limits.body_bytes};
    this->head_reservation = memory_reservation{this->server.handlers.bounds.memory};
    this->body_reservation = memory_reservation{this->server.handlers.bounds.memory};
}

void server_connection::add_request(http_request request)
{
    auto entry = std::make_shared<pipelined_request>();
    this->accepts_requests = request.keeps_connection;
    entry->request = std::move(request);
    entry->head_reservation = std::move(this->head_reservation);
    entry->arrived = boot_clock::now();
    this->pipeline.push_back(std::move(entry));
    ++this->server.unanswered;
}

bool server_connection::reserve_head()
{
    const std::size_t needed = this->decoder.head_memory();
    const bool is_covered = this->pipeline.empty() && needed <= covered_head_bytes;
    return is_covered || needed <= this->head_reservation.size() ||
           this->head_reservation.resize(needed, needed > small_body_bytes
                                                     ? memory_use::large_request
                                                     : memory_use::small_body);
}

bool server_connection::reserve_body()
{
    const std::size_t needed = this->decoder.memory_needed();
    return needed <= this->body_reservation.size() ||
           this->body_reservation.resize(needed, needed > small_body_bytes
                                                     ? memory_use::large_request
                                                     : memory_use::small_body);
}

void server_connection::reject(decode_state state)
{
    client_counters& counters = *this->server.handlers.bounds.counters;
    ++(state == decode_state::memory_short ? counters.refused_for_memory : counters.rejected_input);
    log_line{"input_rejected"}
        .add("remote", this->source.remote_ip)
        .add("cause", static_cast<int>(state))
        .add("needed", this->decoder.memory_needed());
    this->answer_and_close(this->server.handlers.reject(state));
}

void server_connection::answer_and_close(http_response answer)
{
    this->accepts_requests = false;
    this->was_rejected = true;
    this->buffer = {};
    this->reset_decoder();
    auto entry = std::make_shared<pipelined_request>();
    entry->is_started = true;
    entry->answer = std::move(answer);
    entry->answer->keeps_connection = false;
    this->pipeline.push_back(entry);
    ++this->server.unanswered;
    this->write();
}

void server_connection::start_requests()
{
    bool is_first = true;
    // Starting a request may answer it at once and modify the pipeline, so the loop iterates over a
    // copy.
    const std::deque<request_pointer> waiting = this->pipeline;
    for (const request_pointer& entry : waiting) {
        if (this->is_closed) {
            return;
        }
        if (!entry->is_started &&
            (is_first ||
             (!this->server.stopping && this->server.handlers.may_pipeline(entry->request.head)))) {
            this->start_request(entry);
        }
        else if (!entry->is_started) {
            return;
        }
        is_first = false;
    }
}

void server_connection::start_request(const request_pointer& entry)
{
    entry->is_started = true;
    const bool keeps_connection = entry->request.keeps_connection;
    http_request request = entry->request;
    // The body's memory is free as soon as the served request needs it no more.
    entry->request.body = {};
    const std::weak_ptr<server_connection> weak = this->weak_from_this();
    auto served = this->server.handlers.serve(
        std::move(request), entry->arrived, [weak, entry, keeps_connection](http_response answer) {
            const auto self = weak.lock();
            if (self == nullptr || self->is_closed || entry->answer) {
                return;
            }
            answer.keeps_connection = answer.keeps_connection && keeps_connection;
            self->set_response(entry, std::move(answer));
        });
    if (!entry->answer) {
        entry->served = std::move(served);
    }
}

void server_connection::set_response(const request_pointer& entry, http_response answer)
{
    entry->answer = std::move(answer);
    entry->served.reset();
    this->write();
}

void server_connection::write()
{
    if (this->is_writing || this->is_closed || this->pipeline.empty() ||
        !this->pipeline.front()->answer) {
        return;
    }
    const request_pointer entry = this->pipeline.front();
    if (this->server.stopping && !this->is_next_started()) {
        entry->answer->keeps_connection = false;
    }
    const bool keeps_connection = entry->answer->keeps_connection;
    const bool has_body = entry->request.head.method != "HEAD";
    this->output = encode_response_head(*entry->answer, entry->request.head.method);
    const std::array<boost::asio::const_buffer, 2> parts{
        boost::asio::buffer(this->output),
        has_body ? boost::asio::buffer(entry->answer->body.str()) : boost::asio::const_buffer{}};
    this->is_writing = true;
    this->write_deadline = boot_clock::now() + this->server.handlers.limits().idle_timeout;
    this->arm_timer();
    const auto self = this->shared_from_this();
    boost::asio::async_write(
        this->socket, parts,
        [self](const boost::system::error_code& error, std::size_t) -> std::size_t {
            self->write_deadline = boot_clock::now() + self->server.handlers.limits().idle_timeout;
            return error ? 0 : write_step_bytes;
        },
        // The entry holds the body until it is written.
        [self, entry, keeps_connection](const boost::system::error_code& error, std::size_t) {
            self->is_writing = false;
            if (error) {
                self->close();
                return;
            }
            self->on_written(keeps_connection);
        });
}

bool server_connection::is_finishing() const
{
    return this->server.stopping && !this->pipeline.empty();
}

bool server_connection::is_next_started() const
{
    return this->pipeline.size() > 1 && this->pipeline[1]->is_started;
}

void server_connection::on_written(bool keeps_connection)
{
    if (this->is_closed) {
        return;
    }
    this->pipeline.pop_front();
    --this->server.unanswered;
    this->last_completed_at = boot_clock::now();
    if (!keeps_connection) {
        this->shut_down();
        return;
    }
    // A request that began to arrive meanwhile has its whole time from now on.
    this->head_deadline = {};
    this->body_deadline = {};
    this->decode();
    this->write();
    this->read();
}

void server_connection::shut_down()
{
    // Shuts down only the sending side: closing a socket with unread bytes resets the connection,
    // and the caller could lose the response.
    boost::system::error_code ignored;
    this->accepts_requests = false;
    this->buffer = {};
    this->head_reservation.reset();
    this->body_reservation.reset();
    this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    this->discard_requests();
    this->close_deadline =
        boot_clock::now() + (this->was_rejected ? rejected_close_delay : close_delay);
    this->arm_timer();
}

void server_connection::discard_requests()
{
    this->server.unanswered -= this->pipeline.size();
    const auto discarded = std::exchange(this->pipeline, {});
    for (const request_pointer& entry : discarded) {
        if (entry->served != nullptr) {
            entry->served->cancel();
        }
    }
}

connection_state server_connection::state() const
{
    return {this->source.id, this->source.remote_ip, !this->pipeline.empty(),
            this->last_completed_at};
}

} // namespace dragonflyroad
