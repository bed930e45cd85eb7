#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace dragonflyroad {

/// A name of the kind given by `Tag`. Distinct tags prevent passing, for example, an organisation
/// where a service is expected.
template<typename Tag>
struct identifier {
    std::string value;

    identifier() = default;
    explicit identifier(std::string text) : value(std::move(text)) {}

    bool empty() const { return this->value.empty(); }
    auto operator<=>(const identifier&) const = default;
};

/// A node, identified by the name in its settings. The name stays the same across restarts.
using node_id = identifier<struct node_tag>;
using data_centre = identifier<struct data_centre_tag>;
using organisation_id = identifier<struct organisation_tag>;
using service_name = identifier<struct service_tag>;
using profile_name = identifier<struct profile_tag>;
using route_name = identifier<struct route_tag>;
/// An upstream, identified by the address at which it accepts requests: "ip:port".
using upstream_id = identifier<struct upstream_tag>;

/// Identifies one run of a node process. A restarted node draws a new random value, so that
/// anything granted by or to its earlier run does not apply to the new one.
using incarnation = std::uint64_t;

/// Revision of the configuration; increases by one with each accepted change. Zero means none.
using revision_number = std::uint64_t;

} // namespace dragonflyroad

template<typename Tag>
struct std::hash<dragonflyroad::identifier<Tag>> {
    std::size_t operator()(const dragonflyroad::identifier<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};
