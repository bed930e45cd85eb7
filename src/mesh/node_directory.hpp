#pragma once

#include "core/ids.hpp"
#include "dispatch/evacuated_centres.hpp"
#include "dispatch/vm_selector.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace dragonflyroad {

/// The entry that a node publishes about itself in the store.
struct node_entry {
    node_id node;
    incarnation node_incarnation = 0;
    /// The address at which the node accepts links of its peers, "ip:port".
    std::string address;
    data_centre centre;
    /// The service of the upstream beside the node; empty while that upstream accepts no new work.
    service_name service;
    std::uint32_t slots = 0;
    /// Where the node's report is served, "ip:port"; empty when it is not.
    std::string report_address;

    bool operator==(const node_entry&) const = default;

    std::string to_text() const;
    /// Returns nothing when the text is not a valid entry, for example because another writer has
    /// left it or its numbers are out of range; the reason is in last_failure(), which
    /// names `source`.
    static std::optional<node_entry> from_text(const std::string& text, const std::string& source);
};

/// The known nodes and the upstreams beside them.
class node_directory {
public:
    void put(const node_entry& entry);
    void remove(const node_id& node);

    const node_entry* find(const node_id& node) const;
    std::size_t size() const { return this->entries.size(); }
    const std::map<node_id, node_entry>& all() const { return this->entries; }

    /// The VMs whose upstream provides the service, except those in evacuated data centres, as seen
    /// by the node `self` in `centre`. Listed once for each change of the directory. Valid until
    /// the next change.
    service_candidates& candidates(const service_name& service, const node_id& self,
                                   const data_centre& centre);

    std::size_t count_upstreams(const service_name& service) const;

    /// Whether the service has upstreams and all of them are in evacuated data centres.
    bool is_evacuated(const service_name& service) const;

    /// Adds a data centre to those that get no work, or removes it. False when this changes
    /// nothing.
    bool set_evacuated(const data_centre& centre, bool is_evacuated);
    const evacuated_centres& evacuations() const { return this->evacuated; }

private:
    std::map<node_id, node_entry> entries;
    evacuated_centres evacuated;
    std::map<service_name, service_candidates> listed;
};

} // namespace dragonflyroad
