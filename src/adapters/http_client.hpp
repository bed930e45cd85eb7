#pragma once

#include "adapters/transport.hpp"

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace dragonflyroad {

class upstream_connection;

/// Sends requests over a pool of persistent connections, several for each upstream, with one
/// exchange at a time on each. A connection returns to the pool only after an exchange that ended
/// completely and as framed, so that a late response cannot be mistaken for that of the next
/// request.
class http_client : public transport {
public:
    http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;
    ~http_client() override;

    exchange_result exchange(const upstream_id& upstream, const outbound_request& request,
                             response_receiver& receiver, cancellation& cancel) override;

    bool can_connect(const upstream_id& upstream, std::chrono::milliseconds timeout) override;

    /// Closes the idle connections to an upstream that was removed.
    void close_idle_connections(const upstream_id& upstream);

private:
    struct idle_connection {
        std::unique_ptr<upstream_connection> connection;
        time_point since;
    };

    std::unique_ptr<upstream_connection> acquire_connection(const upstream_id& upstream,
                                                            const outbound_request& request);
    std::unique_ptr<upstream_connection> acquire_idle_connection(const upstream_id& upstream,
                                                                 const outbound_request& request);
    void release_connection(const upstream_id& upstream,
                            std::unique_ptr<upstream_connection> connection);

    std::mutex mutex;
    std::unordered_map<upstream_id, std::vector<idle_connection>> idle;
};

} // namespace dragonflyroad
