#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "dispatch/upstream_load_report.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dragonflyroad {

/// The load of one upstream as a node expects it to be now.
struct load_estimate {
    /// Expected wait for a slot; nothing without a recent report.
    std::optional<std::chrono::milliseconds> wait;
    /// Time since this node last asked for a slot there; nothing if it never did or never got a
    /// report.
    std::optional<duration> since_asked;
};

/// What this node knows of the load of each upstream, from the reports in replies. A report is old
/// when it is used: this node adds what it has sent since, and expects the rest to change at the
/// rate that the report implies. Not synchronised.
class service_load {
public:
    /// Replaces what is known of the upstream beside `vm`, unless the report is empty.
    void record(const node_id& vm, const upstream_load_report& report, time_point now);
    /// Records that this node has asked for or used a slot there since the latest report.
    void record_sent(const node_id& vm, time_point now);
    void forget(const node_id& vm);

    /// Expected wait for a slot at the upstream beside `vm`, for a request that is served after
    /// those that wait; nothing without a recent report.
    std::optional<std::chrono::milliseconds> expected_wait(const node_id& vm, time_point now) const;

    load_estimate estimate(const node_id& vm, time_point now) const;

    /// Age of the latest report of the upstream beside `vm`; nothing when there is no recent one.
    std::optional<std::chrono::milliseconds> report_age(const node_id& vm, time_point now) const;

    /// The shortest expected wait among these VMs. Nothing unless at least half of them, and at
    /// least two, have a recent report: with less evidence no request is rejected because of it.
    std::optional<std::chrono::milliseconds> shortest_wait(const std::vector<node_id>& vms,
                                                           time_point now) const;

    std::size_t known_count() const { return this->known.size(); }

private:
    struct known_load {
        upstream_load_report report;
        time_point reported_at{};
        std::uint32_t sent_since = 0;
        time_point last_sent_at{};
    };

    const known_load* find_recent(const node_id& vm, time_point now) const;
    static bool is_recent(const known_load& state, time_point now);
    static std::chrono::milliseconds wait_of(const known_load& state, time_point now);

    std::unordered_map<node_id, known_load> known;
};

} // namespace dragonflyroad
