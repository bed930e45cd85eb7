#include "mesh/server_connection.hpp"

#include "adapters/log.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

/// A body must grow by this much within the idle time-out. Callers' links have 10 Mbit/s or more,
/// so that it takes 13 ms; a VM may be suspended for seconds.
constexpr std::size_t body_mark_bytes = 16U << 10U;

} // namespace

void server_connection::record_input()
{
    const time_point now = boot_clock::now();
    const caller_limits limits = this->server.handlers.limits();
    this->idle_deadline = now + limits.idle_timeout;
    this->silence_deadline = now + limits.header_timeout;
    if (!this->decoder.has_begun()) {
        return;
    }
    if (this->head_deadline == time_point{}) {
        this->head_deadline = now + limits.header_timeout;
    }
    const bool has_grown =
        this->decoder.has_head() && this->decoder.body_size() >= this->next_body_mark;
    if (this->body_deadline == time_point{} || has_grown) {
        this->body_deadline = now + limits.idle_timeout;
        this->next_body_mark =
            (this->decoder.has_head() ? this->decoder.body_size() : 0) + body_mark_bytes;
    }
}

time_point server_connection::next_deadline() const
{
    if (this->close_deadline != time_point{}) {
        return this->close_deadline;
    }
    if (this->is_writing) {
        return this->write_deadline;
    }
    if (!this->decoder.has_begun() || !this->accepts_requests) {
        return this->idle_deadline;
    }
    return std::min(this->silence_deadline,
                    this->decoder.has_head() ? this->body_deadline : this->head_deadline);
}

void server_connection::arm_timer()
{
    if (this->is_closed) {
        return;
    }
    this->timer.expires_after(
        std::max<duration>(this->next_deadline() - boot_clock::now(), duration::zero()));
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
    const time_point now = boot_clock::now();
    if (now < this->next_deadline()) {
        this->arm_timer();
        return;
    }
    client_counters& counters = *this->server.handlers.bounds.counters;
    if (this->is_writing && this->close_deadline == time_point{}) {
        ++counters.slow_readers;
        log_line{"slow_reader_closed"}.add("remote", this->source.remote_ip);
        this->close();
        return;
    }
    if (!this->pipeline.empty()) {
        // The client waits for a response; it owes nothing until that is written.
        this->head_deadline = {};
        this->body_deadline = {};
        this->record_input();
        this->arm_timer();
        return;
    }
    if (this->accepts_requests && this->decoder.has_begun()) {
        ++counters.slow_requests;
        log_line{"slow_request"}
            .add("remote", this->source.remote_ip)
            .add("body_bytes", this->decoder.has_head() ? this->decoder.body_size() : 0);
        http_response answer;
        answer.status = 408;
        this->answer_and_close(std::move(answer));
        return;
    }
    this->close();
}

} // namespace dragonflyroad
