#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "dispatch/organisation_quota.hpp"
#include "mesh/link_message.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace dragonflyroad {

/// Result of checking one request against its organisation's fleet-wide quota.
enum class quota_verdict {
    admitted,
    /// The organisation has used up its rate and burst.
    over_limit,
    /// The holder of the quota is unknown or cannot be reached, and this node may not admit the
    /// request on its own; see fallback_rate_limiter.
    holder_unavailable,
};

struct quota_decision {
    quota_verdict verdict = quota_verdict::holder_unavailable;
    std::chrono::milliseconds retry_after{0};
    /// Whether the holder of the quota counted the request. If so, the quota must be refunded when
    /// the request is not run.
    bool is_counted = false;
    /// What the decision is based on, for the log and the detail of a refusal.
    std::string detail;
};

/// Number of groups that organisations are hashed into. One node holds the quota of a whole group,
/// so the loss of a node affects only the groups that it holds.
constexpr std::size_t quota_group_count = 16;

/// The group of an organisation, from 0 to quota_group_count - 1.
std::size_t quota_group(const organisation_id& organisation);

/// Queries that this node relays for other nodes have ids above this value; the ids of its own
/// requests are below it.
constexpr run_id first_relayed_query = run_id{1} << 63U;

/// Decides whether a request is within its organisation's quota. The node that holds the
/// organisation's quota group decides; this class queries that node, directly or through a relay,
/// and answers the queries of other nodes for the groups that this node holds. If no holder is
/// known or the holder does not answer, this node decides the requests of its own callers itself,
/// with fallback_rate_limiter.
class quota_coordinator {
public:
    struct callbacks {
        /// The node that holds a group, or nothing when no holder is known.
        std::function<std::optional<node_id>(std::size_t group)> find_group_holder;
        /// Whether this node holds the group under a lease that is still valid.
        std::function<bool(std::size_t group)> is_group_held;
        std::function<organisation_limit(const organisation_id&)> limit_of;
        std::function<std::size_t()> fleet_size;
        std::function<void(const node_id&, link_message)> send;
        /// A reachable node that can relay a query to a holder; nothing when there is none.
        std::function<std::optional<node_id>(const node_id& holder)> choose_relay;
    };
    using reply_function = std::function<void(const link_message&)>;
    using done_function = std::function<void(quota_decision)>;

    quota_coordinator(boost::asio::io_context& loop, const node_id& node,
                      const quota_tolerance& tolerance, callbacks functions);

    /// Calls `done` once with the decision, possibly before this returns.
    void request_admission(run_id id, const organisation_id& organisation, done_function done);
    /// Refunds the quota of an admitted request that was not run.
    void refund(const organisation_id& organisation);

    /// Answers a query of another node, immediately or after relaying it to the holder.
    void handle_query(const quota_request_message& query, const reply_function& reply);
    /// Refunds the quota of a request that another node did not run.
    void handle_refund(const quota_refund_message& message);
    void receive(const quota_reply_message& reply);

    /// Changes the tolerance; the tokens of the organisations stay as they are.
    void set_tolerance(const quota_tolerance& tolerance);

    /// Discards the token buckets of a group that this node no longer holds.
    void drop_group(std::size_t group);

private:
    struct pending_query {
        organisation_id organisation;
        done_function done;
        std::shared_ptr<boost::asio::steady_timer> timer;
        node_id holder;
        bool is_relayed = false;
    };

    quota_decision decide_with_fallback(const organisation_id& organisation);
    quota_decision decide_without_holder(run_id id, const organisation_id& organisation);
    /// The reply of this node, without a decision when it does not hold the organisation's group.
    quota_reply_message decide_as_holder(run_id id, const organisation_id& organisation);
    void query_holder(run_id id, const node_id& holder, const organisation_id& organisation,
                      done_function done);
    void arm_timeout(run_id id, std::chrono::milliseconds timeout);
    void on_timeout(run_id id);
    void finish(run_id id, const quota_decision& decision);

    boost::asio::io_context& context;
    node_id self;
    lease_holder_rate_limiter held_quota;
    fallback_rate_limiter fallback_limiter;
    callbacks handlers;
    std::map<run_id, pending_query> pending_queries;
    run_id last_relayed_query = first_relayed_query;
};

} // namespace dragonflyroad
