#include "mesh/http_client_pool.hpp"

#include "adapters/address.hpp"
#include "adapters/log.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>
#include <vector>

#include <boost/asio/write.hpp>

namespace dragonflyroad {
namespace {

/// Connect timeout. Peers are on the same VM or in another data centre. An overloaded peer drops
/// the SYN packet; the kernel sends it again after one second, still within this timeout.
constexpr std::chrono::milliseconds connect_timeout{1'500};

/// Maximum number of responses to other requests that are skipped before the connection is closed.
constexpr int max_skipped_responses = 3;

/// How long a peer may take to accept a connection that only checks whether it listens. A peer on
/// the same VM refuses within a millisecond.
constexpr std::chrono::milliseconds refusal_check_timeout{500};

/// How long after its deadline a request may still be sent again: its time left is rounded on the
/// way between nodes.
constexpr std::chrono::milliseconds resend_margin{1'000};

/// A failure on a pooled connection within this time after the start of a request is taken to mean
/// that the peer had already closed the connection: a peer on the same VM reacts within a few
/// milliseconds.
constexpr std::chrono::milliseconds stale_connection_error_time{50};

/// Share of a peer's announced idle timeout for which a connection is reused. Less than 1, since
/// the peer's timer started earlier.
constexpr double used_keep_alive_share = 0.8;

/// The usable idle time from a `Keep-Alive: timeout=N` header (N in seconds), if there is one.
std::optional<std::chrono::milliseconds> usable_keep_alive_time(const http_headers& headers)
{
    const auto value = find_header(headers, "Keep-Alive");
    if (!value) {
        return std::nullopt;
    }
    for (const std::string_view part : split_list(*value)) {
        constexpr std::string_view name = "timeout=";
        int seconds = 0;
        if (part.starts_with(name)) {
            const std::string_view digits = part.substr(name.size());
            std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
            return std::chrono::milliseconds{
                static_cast<std::int64_t>(seconds * 1000 * used_keep_alive_share)};
        }
    }
    return std::nullopt;
}

} // namespace

http_client_pool::http_client_pool(boost::asio::io_context& loop, std::size_t max_body_bytes,
                                   std::size_t max_receiving_bytes)
    : context(loop), body_limit(max_body_bytes), receiving_limit(max_receiving_bytes)
{
}

void http_client_pool::set_address(const std::string& text)
{
    if (text != this->address) {
        this->address = text;
        this->close_idle();
    }
}

std::shared_ptr<client_connection> http_client_pool::start(client_exchange_request request,
                                                           done_function done)
{
    auto connection = this->take_idle(request);
    if (connection == nullptr) {
        connection = std::make_shared<client_connection>(*this, this->context);
    }
    connection->run(std::move(request), std::move(done));
    return connection;
}

std::shared_ptr<client_connection>
http_client_pool::take_idle(const client_exchange_request& request)
{
    // The most recently used connection is the least likely to have been closed by the peer.
    const time_point now = boot_clock::now();
    for (auto next = this->idle.rbegin(); next != this->idle.rend(); ++next) {
        auto connection = *next;
        if (now > connection->idle_since + request.max_idle || now > connection->reusable_until ||
            !this->reuse_limit.may_reuse(connection->idle_since, now)) {
            return nullptr;
        }
        if (connection->may_carry(request)) {
            this->idle.erase(std::next(next).base());
            return connection;
        }
    }
    return nullptr;
}

void http_client_pool::add_idle(const std::shared_ptr<client_connection>& connection)
{
    if (connection->address != this->address) {
        connection->close();
        return;
    }
    this->idle.push_back(connection);
}

void http_client_pool::remove_idle(const client_connection* connection)
{
    std::erase_if(this->idle, [&](const auto& kept) { return kept.get() == connection; });
}

void http_client_pool::close_idle()
{
    const auto unused = std::exchange(this->idle, {});
    for (const auto& connection : unused) {
        connection->close();
    }
}

void http_client_pool::close_idle_since_before(time_point time)
{
    std::vector<std::shared_ptr<client_connection>> older;
    std::ranges::copy_if(this->idle, std::back_inserter(older),
                         [time](const auto& kept) { return kept->idle_since < time; });
    for (const auto& connection : older) {
        this->remove_idle(connection.get());
        connection->close();
    }
}

void http_client_pool::check_refusal(std::function<void(bool is_refused)> done)
{
    const auto parsed = parse_address(this->address);
    if (!parsed) {
        boost::asio::post(this->context, [done = std::move(done)] { done(false); });
        return;
    }
    ++this->opened;
    const auto probe = std::make_shared<boost::asio::ip::tcp::socket>(this->context);
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(this->context, refusal_check_timeout);
    timer->async_wait([probe, timer](const boost::system::error_code& error) {
        if (!error) {
            boost::system::error_code ignored;
            probe->close(ignored);
        }
    });
    probe->async_connect(
        {boost::asio::ip::make_address(parsed->ip), parsed->port},
        [probe, timer, done = std::move(done)](const boost::system::error_code& error) {
            timer->cancel();
            done(error == boost::asio::error::connection_refused);
        });
}

client_connection::client_connection(http_client_pool& owner, boost::asio::io_context& loop)
    : pool(&owner), socket(loop), timer(loop)
{
}

void client_connection::run(client_exchange_request next, http_client_pool::done_function function)
{
    this->request = std::move(next);
    this->done = std::move(function);
    this->decoder.emplace(this->request.method, this->pool->body_limit);
    this->is_written = false;
    this->is_reset_in_write = false;
    this->has_carried_other = this->idle_since != time_point{};
    this->skipped_responses = 0;
    this->response_bytes = 0;
    ++this->pool->open_requests;
    this->request_started_at = boot_clock::now();
    std::erase_if(this->carried, [this](const auto& sent) {
        return this->request_started_at > sent.second + resend_margin;
    });
    if (this->request.identity) {
        this->carried[this->request.identity->id] = this->request.deadline;
    }
    this->arm_timer(this->request.deadline);
    if (this->is_connected) {
        this->write();
    }
    else {
        this->connect();
    }
}

void client_connection::connect()
{
    const auto parsed = parse_address(this->pool->address);
    if (!parsed) {
        boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
            self->finish(client_exchange_outcome::not_sent, "the address is not known");
        });
        return;
    }
    ++this->pool->opened;
    this->address = this->pool->address;
    this->arm_timer(std::min(this->request.deadline, boot_clock::now() + connect_timeout));
    this->socket.async_connect(
        {boost::asio::ip::make_address(parsed->ip), parsed->port},
        [self = this->shared_from_this()](const boost::system::error_code& error) {
            if (self->is_closed || self->done == nullptr) {
                return;
            }
            if (error) {
                self->finish(client_exchange_outcome::not_sent, error.message());
                return;
            }
            boost::system::error_code ignored;
            self->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
            self->is_connected = true;
            self->arm_timer(self->request.deadline);
            self->write();
        });
}

void client_connection::write()
{
    const std::array<boost::asio::const_buffer, 2> parts{
        boost::asio::buffer(this->request.bytes), boost::asio::buffer(this->request.body.str())};
    boost::asio::async_write(
        this->socket, parts,
        [self = this->shared_from_this()](const boost::system::error_code& error, std::size_t) {
            if (self->is_closed) {
                return;
            }
            self->is_written = !error;
            self->is_reset_in_write = static_cast<bool>(error);
            if (error) {
                // The peer may have responded and closed before it read the whole request.
                self->read();
            }
        });
    this->read();
}

void client_connection::read()
{
    if (this->is_reading || this->is_closed) {
        return;
    }
    this->is_reading = true;
    this->socket.async_read_some(boost::asio::buffer(this->input),
                                 [self = this->shared_from_this()](
                                     const boost::system::error_code& error, std::size_t size) {
                                     self->is_reading = false;
                                     self->on_read(error, size);
                                 });
}

void client_connection::on_read(const boost::system::error_code& error, std::size_t size)
{
    if (this->is_closed) {
        return;
    }
    if (this->done == nullptr) {
        // The connection is idle: the peer closed it or sent bytes that belong to no request.
        this->pool->remove_idle(this);
        this->close();
        return;
    }
    if (error == boost::asio::error::eof) {
        this->on_end();
        return;
    }
    if (error) {
        this->is_closed_by_peer = true;
        this->finish(client_exchange_outcome::broken, error.message());
        return;
    }
    this->response_bytes += size;
    this->pool->receiving_bytes += size;
    if (this->exceeds_receiving_limit()) {
        this->finish(client_exchange_outcome::broken, "the response takes up too much memory");
        return;
    }
    this->buffer.append(this->input.data(), size);
    this->decode();
}

bool client_connection::exceeds_receiving_limit() const
{
    const std::size_t limit = this->pool->receiving_limit;
    return this->pool->receiving_bytes > limit &&
           this->response_bytes > limit / this->pool->open_requests;
}

void client_connection::decode()
{
    const decode_state state = this->decoder->decode(this->buffer);
    if (state == decode_state::incomplete) {
        this->read();
        return;
    }
    if (state != decode_state::complete) {
        this->finish(client_exchange_outcome::broken, "the bytes are no HTTP answer");
        return;
    }
    this->accept(this->decoder->take());
}

void client_connection::on_end()
{
    // The kernel reports a reset once: when the write has received it, reads end as if in order.
    if (this->is_reset_in_write) {
        this->is_closed_by_peer = true;
        this->finish(client_exchange_outcome::broken,
                     "the connection was reset while the request was written");
        return;
    }
    if (this->decoder->decode_end() != decode_state::complete) {
        this->is_closed_by_peer = true;
        this->finish(client_exchange_outcome::broken, "the connection ended before the answer");
        return;
    }
    http_response last = this->decoder->take();
    last.keeps_connection = false;
    this->accept(std::move(last));
}

void client_connection::accept(http_response next)
{
    if (this->is_own(next)) {
        this->response = std::move(next);
        this->finish(client_exchange_outcome::answered, "");
        return;
    }
    ++this->pool->foreign;
    log_line{"foreign_response"}
        .add("peer", this->address)
        .add("request", this->request.identity->id)
        .add("returned",
             std::string{find_header(next.headers, this->request.identity->header).value_or("")})
        .add("status", next.status);
    if (!next.keeps_connection || ++this->skipped_responses > max_skipped_responses) {
        this->finish(client_exchange_outcome::broken, "the answer belongs to another request");
        return;
    }
    this->decoder.emplace(this->request.method, this->pool->body_limit);
    this->decode();
}

bool client_connection::is_own(const http_response& candidate) const
{
    const auto& identity = this->request.identity;
    if (!identity) {
        return true;
    }
    const auto returned = find_header(candidate.headers, identity->header);
    return returned ? *returned == identity->id : !this->has_carried_other;
}

bool client_connection::may_carry(const client_exchange_request& next) const
{
    // An answer without an id is accepted on a new connection only, so a request without one needs
    // such a connection.
    return !next.identity ||
           (!next.identity->id.empty() && !this->carried.contains(next.identity->id));
}

bool client_connection::is_reset_at_once(client_exchange_outcome end) const
{
    return end == client_exchange_outcome::broken && this->buffer.empty() &&
           boot_clock::now() < this->request_started_at + stale_connection_error_time;
}

void client_connection::finish(client_exchange_outcome end, std::string detail)
{
    const auto self = this->shared_from_this();
    const auto function = std::exchange(this->done, nullptr);
    if (function == nullptr) {
        return;
    }
    --this->pool->open_requests;
    this->pool->receiving_bytes -= this->response_bytes;
    const bool is_reset = this->is_reset_at_once(end);
    const bool was_stale =
        is_reset && idle_reuse_limit::may_be_stale(this->idle_since, this->request_started_at);
    const bool is_reusable = end == client_exchange_outcome::answered && this->is_written &&
                             this->response.keeps_connection && this->buffer.empty();
    if (is_reusable) {
        // The body's memory is free although the connection stays open.
        this->request.body = {};
        const time_point now = boot_clock::now();
        const auto idle_time =
            usable_keep_alive_time(this->response.headers).value_or(this->pool->idle_limit);
        this->idle_since = now;
        this->reusable_until = now + std::min(idle_time, this->pool->idle_limit);
        this->arm_timer(this->reusable_until);
        this->read();
        this->pool->add_idle(self);
    }
    else {
        if (was_stale) {
            this->pool->reuse_limit.record_stale_connection(this->idle_since,
                                                            this->request_started_at);
        }
        else if (is_reset) {
            this->pool->reuse_limit.record_fault(this->request_started_at);
        }
        this->close();
    }
    function(
        {end, std::move(this->response), std::move(detail), was_stale, this->is_closed_by_peer});
}

void client_connection::cancel()
{
    this->finish(client_exchange_outcome::cancelled, "the request was cancelled");
}

void client_connection::arm_timer(time_point at)
{
    this->timer.expires_after(std::max<duration>(at - boot_clock::now(), duration::zero()));
    this->timer.async_wait([weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (error || self == nullptr || self->is_closed) {
            return;
        }
        if (self->done != nullptr) {
            const bool connected = self->is_connected;
            if (connected) {
                self->pool->close_idle_since_before(self->request_started_at);
            }
            self->finish(connected ? client_exchange_outcome::broken
                                   : client_exchange_outcome::not_sent,
                         connected ? "no answer in time" : "no connection in time");
            return;
        }
        self->pool->remove_idle(self.get());
        self->close();
    });
}

void client_connection::close()
{
    this->is_closed = true;
    boost::system::error_code ignored;
    this->timer.cancel();
    this->socket.close(ignored);
}

} // namespace dragonflyroad
