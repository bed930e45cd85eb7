#pragma once

#include "core/clock.hpp"
#include "dispatch/crash_guard.hpp"
#include "mesh/node_registration.hpp"
#include "mesh/shared_store.hpp"

#include <deque>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace dragonflyroad {

/// Writes the crashes of the upstream on this VM to the store, from which every node reads them.
/// Each entry has a lease of its own that is not renewed, so the store removes it in time. A write
/// that fails is made again for a while.
class crash_publisher {
public:
    crash_publisher(boost::asio::io_context& loop, shared_store& platform_store,
                    fleet_keys store_keys);

    void publish(const node_id& node, const upstream_crash& crash);
    /// Writes the recent crashes again after the store has come back from an older copy, for nodes
    /// that start later.
    void publish_again();

private:
    struct entry {
        std::string key;
        std::string value;
        time_point published_at{};
        time_point give_up_at{};
    };

    void request_lease(const std::shared_ptr<entry>& unwritten);
    void write(const std::shared_ptr<entry>& unwritten, store_lease lease, store_era granted_in);
    void retry_later(const std::shared_ptr<entry>& unwritten);

    boost::asio::io_context& context;
    shared_store& store;
    fleet_keys keys;
    std::deque<std::shared_ptr<entry>> recent;
};

} // namespace dragonflyroad
