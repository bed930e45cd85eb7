#pragma once

#include "core/clock.hpp"
#include "core/random.hpp"
#include "membership/fleet_membership.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace dragonflyroad::bench {

/// The size and network of a fleet. Delays are one-way.
struct fleet_shape {
    std::string deployment;
    std::size_t nodes = 6;
    std::size_t data_centres = 3;
    std::size_t regions = 1;
    duration within_data_centre = std::chrono::microseconds{200};
    duration between_data_centres = std::chrono::microseconds{1'500};
    duration between_regions = std::chrono::milliseconds{60};
    double loss = 0.01;
    membership_settings settings;
};

fleet_shape ledgerworks(std::size_t nodes);
fleet_shape siamcite(std::size_t nodes);
/// The target scale: 14 data centres in 6 regions, and one round of pings per second.
fleet_shape target(std::size_t nodes);

/// Simulates a whole fleet: runs the real membership objects on a manual clock. Datagrams are
/// delayed and lost as the shape says.
class membership_fleet {
public:
    struct member {
        std::unique_ptr<fleet_membership> membership;
        std::size_t data_centre = 0;
        revision_number revision = 0;
        /// Ticks and datagrams due before this time are postponed to it.
        time_point paused_until;
        bool stopped = false;
        std::uint64_t sent_bytes = 0;
        std::uint64_t received_bytes = 0;
        std::uint64_t messages = 0;
    };

    /// All members know each other from the start.
    membership_fleet(fleet_shape shape, std::uint64_t seed);

    void run_until(time_point end);
    /// Runs `action` when the clock reaches `time`.
    void at(time_point time, std::function<void()> action);
    /// Sets the configuration revision that a member advertises, unless it is not newer than the
    /// current one.
    void set_revision(std::size_t node, revision_number revision);

    /// Announces an upstream on a member's VM to that member.
    void announce(std::size_t node, const local_upstream_state& offer);
    /// Restarts a member under a new incarnation. It knows the descriptors of all members and keeps
    /// its revision.
    void restart(std::size_t node);

    /// One-way delay between two members.
    duration delay(std::size_t from, std::size_t to) const;
    std::size_t index_of(const node_id& node) const;

    time_point now{std::chrono::seconds{1'000}};
    random_engine random;
    std::vector<member> members;
    fleet_shape shape;
    /// Whether datagrams from one member to another are dropped.
    std::function<bool(std::size_t from, std::size_t to)> is_blocked;
    /// Called when a member accepts a datagram (first callback) or detects a change of a peer's
    /// state (second callback).
    std::function<void(std::size_t node, const membership_update& news)> on_membership_update;
    std::function<void(std::size_t node, const state_change& change)> on_change;

    /// Number and CPU time of calls of one kind, measured while `cpu_seconds` is set.
    struct cost {
        std::uint64_t count = 0;
        double seconds = 0;
    };
    std::function<double()> cpu_seconds;
    cost ticks;
    cost received;

private:
    struct event {
        time_point time;
        std::uint64_t order = 0;
        std::size_t node = 0;
        /// A received datagram; empty for a tick or an action.
        std::string bytes;
        std::function<void()> action;
    };
    struct is_later {
        bool operator()(const event& left, const event& right) const;
    };

    /// Runs one call and adds its CPU time to `total`.
    template<class Call>
    auto timed(cost& total, const Call& call)
    {
        const double before = this->cpu_seconds ? this->cpu_seconds() : 0;
        auto result = call();
        if (this->cpu_seconds) {
            ++total.count;
            total.seconds += this->cpu_seconds() - before;
        }
        return result;
    }

    void start(std::size_t node);
    void push(event next);
    void handle(event& next);
    void tick(std::size_t node);
    void receive(std::size_t node, const std::string& bytes);
    void send(std::size_t from, const std::vector<datagram>& datagrams);
    void plan_tick(std::size_t node);

    std::priority_queue<event, std::vector<event>, is_later> events;
    std::uint64_t pushed = 0;
    std::vector<peer_descriptor> descriptors;
    std::vector<time_point> planned;
    std::unordered_map<std::string, std::size_t> by_address;
    std::unordered_map<node_id, std::size_t> by_name;
};

} // namespace dragonflyroad::bench
