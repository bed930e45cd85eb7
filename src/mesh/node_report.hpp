#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace dragonflyroad {

/// Which version of the settings file is in force on a node.
struct settings_status {
    std::string path;
    /// Digest of the file in force.
    std::string checksum;
    time_point in_force_since{};
    /// Why the file as it is now is not in force, with its line; empty when it is.
    std::string rejection;
    std::uint64_t reloads = 0;
    std::uint64_t rejections = 0;
};

/// Where a node's replica of the shared state comes from, and what it waits for.
struct replica_status {
    revision_number revision = 0;
    time_point in_force_since{};
    /// Time up to which the configuration is known to have been the newest; zero when unknown.
    time_point proved_until{};
    /// "store", or the name of the node that is followed.
    std::string source;
    /// What the node waits for before its configuration counts as current; empty when it does.
    std::string waits_for;
};

/// What a node reports about itself to operators: the configuration and the settings in force.
struct node_report {
    node_id node;
    data_centre centre;
    service_name service;
    bool is_ready = false;
    bool is_stopping = false;
    revision_number revision = 0;
    std::chrono::milliseconds in_force_for{0};
    /// Age of the proof that no newer configuration existed; nothing without a proof.
    std::optional<std::chrono::milliseconds> proof_age;
    std::string source;
    std::string waits_for;
    std::string settings_checksum;
    std::chrono::milliseconds settings_in_force_for{0};
    std::string settings_rejection;

    /// The report as a JSON object; times are in milliseconds.
    std::string to_text() const;
    /// Returns nothing when the text is not a report; the reason is in last_failure(), which names
    /// `source`.
    static std::optional<node_report> from_text(const std::string& text, const std::string& source);
};

node_report make_report(const replica_status& replica, const settings_status& settings,
                        time_point now);

/// Why a node is behind the newest configuration and its settings file; empty when it is not.
std::string reason_behind(const node_report& report, revision_number newest);

} // namespace dragonflyroad
