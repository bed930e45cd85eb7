#pragma once

#include "core/ids.hpp"

#include <cstddef>
#include <vector>

namespace dragonflyroad {

/// Maximum number of nodes that subscribe to one service: 360 connections per upstream allow 90
/// nodes with 4 connections each.
constexpr std::size_t max_service_subscribers = 90;

struct subscriber_candidate {
    node_id node;
    data_centre centre;
};

/// Selects the nodes that subscribe to a service: all candidates if there are at most
/// `max_service_subscribers`, otherwise that many, by the highest rendezvous hash of service and
/// node. The two highest of each data centre are always included. Independent of the order of
/// `candidates`; the result is sorted by name.
std::vector<node_id> select_subscribers(const service_name& service,
                                        const std::vector<subscriber_candidate>& candidates);

} // namespace dragonflyroad
