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

/// How the fleet's quota was decided for one request.
enum class quota_verdict {
    admitted,
    /// Above the organisation's rate and burst.
    over_limit,
    /// The node that holds the quota cannot be asked, and this node's spare part is used up.
    unproved,
};

struct quota_decision {
    quota_verdict verdict = quota_verdict::unproved;
    std::chrono::milliseconds retry_after{0};
    /// The keeper counted the request, so that an unused right can go back to it.
    bool is_counted = false;
    /// What decided, for the log.
    std::string evidence;
};

/// The number of groups that organisations are divided into; each group's quota is held by one
/// node. Losing a node concerns its groups only.
constexpr std::size_t quota_group_count = 16;

std::size_t quota_group(const organisation_id& organisation);

/// Numbers of questions on behalf of other nodes begin here, apart from those of own requests.
constexpr run_id first_relayed_question = run_id{1} << 63U;

/// Asks the keeper of an organisation's quota, which may be this node.
class quota_desk {
public:
    struct callbacks {
        /// The node that holds a group, as far as known.
        std::function<std::optional<node_id>(std::size_t group)> keeper_of;
        /// Whether this node holds the group at the moment, proved by its lease.
        std::function<bool(std::size_t group)> is_held;
        std::function<organisation_limit(const organisation_id&)> limit_of;
        std::function<std::size_t()> fleet_size;
        std::function<void(const node_id&, link_message)> send;
        /// Some other node that can be reached, by way of which a keeper is asked.
        std::function<std::optional<node_id>(const node_id& keeper)> relay_to;
    };
    using reply_function = std::function<void(const link_message&)>;
    using done_function = std::function<void(quota_decision)>;

    quota_desk(boost::asio::io_context& loop, const node_id& node, const quota_tolerance& allowed,
               callbacks functions);

    void ask(run_id id, const organisation_id& organisation, done_function done);
    /// Gives back the right of an admitted request that was not run.
    void give_back(const organisation_id& organisation);

    /// Answers another node, at once or after asking the keeper on its behalf.
    void answer(const quota_message& asked, const reply_function& reply);
    void take_back(const quota_return_message& message);
    void receive(const quota_reply_message& reply);

    /// Forgets the buckets of a group that this node lost.
    void drop_group(std::size_t group);

private:
    struct question {
        organisation_id organisation;
        done_function done;
        std::shared_ptr<boost::asio::steady_timer> limit;
        node_id keeper;
        bool is_relayed = false;
    };

    quota_decision decide_alone(const organisation_id& organisation);
    quota_decision decide_without_keeper(run_id id, const organisation_id& organisation);
    quota_reply_message decide_here(run_id id, const organisation_id& organisation);
    void ask_keeper(run_id id, const node_id& holder, const organisation_id& organisation,
                    done_function done);
    void arm_limit(run_id id, std::chrono::milliseconds limit);
    void on_limit(run_id id);
    void finish(run_id id, const quota_decision& decision);

    boost::asio::io_context& context;
    node_id self;
    quota_keeper keeper;
    spare_quota spare;
    callbacks handlers;
    std::map<run_id, question> questions;
    /// Numbers of questions on behalf of others, apart from those of own requests.
    run_id last_relayed = first_relayed_question;
};

} // namespace dragonflyroad
