#pragma once

#include "core/clock.hpp"
#include "dispatch/crash_guard.hpp"
#include "mesh/node_registration.hpp"
#include "mesh/shared_store.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <set>
#include <string>

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
    /// Writes a report again that the store has lost with an era, since the node that made it may
    /// have ended. `rank` nodes come before this one; it writes only if they don't.
    void write_lost(const std::string& key, const std::string& value, std::size_t rank);
    /// The store holds the report with this key.
    void on_stored(const std::string& key) { this->lost.erase(key); }

private:
    struct entry {
        std::string key;
        std::string value;
        time_point published_at{};
        time_point give_up_at{};
        /// The store has lost the report, and another node made it.
        bool was_lost = false;
    };

    void request_lease(const std::shared_ptr<entry>& unwritten);
    void write(const std::shared_ptr<entry>& unwritten, store_lease lease, store_era granted_in);
    void retry_later(const std::shared_ptr<entry>& unwritten);
    void request_lease_after(const std::shared_ptr<entry>& unwritten,
                             std::chrono::milliseconds pause);

    boost::asio::io_context& context;
    shared_store& store;
    fleet_keys keys;
    std::deque<std::shared_ptr<entry>> recent;
    /// Keys of lost reports that no node has written again yet.
    std::set<std::string> lost;
};

} // namespace dragonflyroad
