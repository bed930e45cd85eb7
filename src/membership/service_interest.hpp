#pragma once

#include "core/ids.hpp"

#include <cstddef>
#include <vector>

namespace dragonflyroad {

/// Largest number of nodes that follow one service: 360 connections per upstream allow 90 nodes
/// with 4 connections each.
constexpr std::size_t max_service_followers = 90;

struct follower_candidate {
    node_id node;
    data_centre centre;
};

/// The nodes that follow a service: all when there are at most `max_service_followers`, otherwise
/// the ones with the highest rendezvous hash of service and node, at least two in each data centre
/// that has as many. The order of `candidates` has no influence; the result is sorted by name.
std::vector<node_id> followers(const service_name& service,
                               const std::vector<follower_candidate>& candidates);

} // namespace dragonflyroad
