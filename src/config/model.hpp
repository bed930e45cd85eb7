#pragma once

#include "config/compact_table.hpp"
#include "config/cow_map.hpp"
#include "config/packing.hpp"
#include "config/records.hpp"

namespace dragonflyroad {

/// All objects at one revision; immutable once published. Copies share unmodified contents, so that
/// the next revision costs little time and memory. Organisations and keys are packed because a node
/// holds a million of each at the target scale.
struct configuration {
    revision_number revision = 0;
    cow_map<profile_name, profile> profiles;
    cow_map<service_name, service> services;
    cow_map<route_name, route> routes;
    compact_table<organisation_packing> organisations;
    /// Indexed by the digest of the key's text.
    compact_table<key_packing> keys;
};

} // namespace dragonflyroad
