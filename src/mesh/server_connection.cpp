#include "mesh/server_connection.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/write.hpp>

namespace dragonflyroad {
namespace {

/// Upper bound on the unanswered requests of one connection; further bytes stay in the socket.
constexpr std::size_t max_pipelined_requests = 16;

} // namespace

server_connection::server_connection(event_loop_http_server& owner,
                                     boost::asio::ip::tcp::socket accepted)
    : server(owner),
      socket(std::move(accepted)),
      timer(owner.context),
      decoder(owner.handlers.limits().header_bytes, owner.handlers.limits().body_bytes)
{
}

void server_connection::start()
{
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
    if (this->is_closed || this->is_reading || this->pipeline.size() >= max_pipelined_requests) {
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
    this->buffer.append(this->input.data(), size);
    this->decode();
    this->read();
}

void server_connection::decode()
{
    while (!this->is_closed && this->accepts_requests && !this->buffer.empty() &&
           this->pipeline.size() < max_pipelined_requests) {
        const decode_state state = this->decoder.decode(this->buffer);
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
        this->add_request(this->decoder.take());
        const caller_limits limits = this->server.handlers.limits();
        this->decoder = request_decoder{limits.header_bytes, limits.body_bytes};
    }
    this->start_requests();
    this->arm_timer();
}

void server_connection::add_request(http_request request)
{
    auto entry = std::make_shared<pipelined_request>();
    this->accepts_requests = request.keeps_connection;
    entry->request = std::move(request);
    entry->arrived = boot_clock::now();
    this->pipeline.push_back(std::move(entry));
    ++this->server.unanswered;
}

void server_connection::reject(decode_state state)
{
    this->accepts_requests = false;
    this->buffer.clear();
    auto entry = std::make_shared<pipelined_request>();
    entry->is_started = true;
    entry->answer = this->server.handlers.reject(state);
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
            (is_first || this->server.handlers.may_pipeline(entry->request.head))) {
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
    const std::weak_ptr<server_connection> weak = this->weak_from_this();
    auto served = this->server.handlers.serve(
        std::move(request), entry->arrived, [weak, entry, keeps_connection](http_response answer) {
            const auto self = weak.lock();
            if (self == nullptr || self->is_closed || entry->answer) {
                return;
            }
            answer.keeps_connection =
                answer.keeps_connection && keeps_connection && !self->server.stopping;
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
    const bool keeps_connection = entry->answer->keeps_connection;
    this->output = encode_response(*entry->answer, entry->request.head.method);
    this->is_writing = true;
    boost::asio::async_write(this->socket, boost::asio::buffer(this->output),
                             [self = this->shared_from_this(), keeps_connection](
                                 const boost::system::error_code& error, std::size_t) {
                                 self->is_writing = false;
                                 if (error) {
                                     self->close();
                                     return;
                                 }
                                 self->on_written(keeps_connection);
                             });
}

void server_connection::on_written(bool keeps_connection)
{
    if (this->is_closed) {
        return;
    }
    this->pipeline.pop_front();
    --this->server.unanswered;
    if (!keeps_connection) {
        // Shuts down only the sending side: closing a socket with unread bytes resets the
        // connection, and the caller could lose the response.
        boost::system::error_code ignored;
        this->accepts_requests = false;
        this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        this->server.unanswered -= this->pipeline.size();
        const auto discarded = std::exchange(this->pipeline, {});
        for (const request_pointer& entry : discarded) {
            if (entry->served != nullptr) {
                entry->served->cancel();
            }
        }
        this->arm_timer();
        return;
    }
    this->decode();
    this->write();
    this->read();
}

void server_connection::arm_timer()
{
    if (this->is_closed) {
        return;
    }
    const caller_limits limits = this->server.handlers.limits();
    std::chrono::milliseconds wait = limits.idle_timeout;
    if (!this->accepts_requests && this->pipeline.empty()) {
        // The response was sent and the caller is expected to close; one second suffices for a slow
        // link.
        wait = std::chrono::milliseconds{1'000};
    }
    else if (this->decoder.has_begun()) {
        wait = limits.header_timeout;
    }
    this->timer.expires_after(wait);
    this->timer.async_wait([weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self != nullptr) {
            self->on_timer();
        }
    });
}

void server_connection::on_timer()
{
    if (this->is_closed) {
        return;
    }
    if (!this->pipeline.empty()) {
        this->arm_timer();
        return;
    }
    if (this->accepts_requests && this->decoder.has_begun()) {
        http_response answer;
        answer.status = 408;
        answer.keeps_connection = false;
        auto entry = std::make_shared<pipelined_request>();
        entry->is_started = true;
        entry->answer = answer;
        this->accepts_requests = false;
        this->pipeline.push_back(entry);
        ++this->server.unanswered;
        this->write();
        return;
    }
    this->close();
}

} // namespace dragonflyroad
