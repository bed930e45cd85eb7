#pragma once

#include "core/clock.hpp"
#include "node/simple_gates.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// An upstream gets no new work when it has not renewed its announcement for this long.
constexpr std::chrono::seconds renewal_window{3};

/// Parses the body of POST /v1/upstreams.
std::optional<announced_upstream> parse_announcement(const std::string& body);

/// The upstreams announced to this node's admin port. Until gossip is joined, these are all that
/// the node knows.
class local_announcements {
public:
    /// `on_change` receives the upstreams that are not overdue, whenever they change.
    explicit local_announcements(
        std::function<void(const std::vector<announced_upstream>&)> on_change);

    void announce(const announced_upstream& upstream, time_point now);
    void withdraw(const upstream_id& upstream);
    void expire(time_point now);
    std::vector<announced_upstream> list() const;

private:
    struct entry {
        announced_upstream upstream;
        time_point overdue;
    };
    std::vector<announced_upstream> collect() const;

    std::function<void(const std::vector<announced_upstream>&)> changed;
    mutable std::mutex mutex;
    std::map<upstream_id, entry> entries;
};

} // namespace dragonflyroad
