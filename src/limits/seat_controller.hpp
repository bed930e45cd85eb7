#pragma once

#include "core/clock.hpp"
#include "core/random.hpp"
#include "limits/fence.hpp"
#include "limits/ledger.hpp"
#include "limits/messages.hpp"
#include "limits/node_quota.hpp"
#include "limits/reclaim_tracker.hpp"
#include "limits/witness_state.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// What seat_controller needs to know about a peer.
struct seat_peer {
    seat_key key;
    /// Time of the latest message that this node or another peer received from it.
    time_point last_heard{};
    /// Whether two-way contact is proved, so that the peer can be asked for loans.
    bool two_way = false;
};

/// A compare-and-swap of `rights/ledger` for the caller to perform. Its outcome must be passed to
/// record_write_outcome(); until then the controller returns no other write.
struct ledger_write {
    ledger book;
    std::uint64_t expected_version = 0;
    /// Kind of change, for logs: "join", "proof", "mark" and so on.
    std::string kind;
};

/// Result of a write as the store reports it; `unknown` covers time-outs and lost replies.
enum class ledger_write_outcome { written, conflict, unknown };

/// What the caller has to do after a step.
struct seat_actions {
    std::optional<ledger_write> write;
    /// Read `rights/ledger` and pass it to record_read().
    bool read_ledger = false;
    std::vector<addressed<consent_request>> consents;
    /// The fence is closed or closes soon: ping the witnesses and a few peers now.
    bool needs_proof = false;
    /// The seat was reclaimed. The process must choose a new incarnation and call rejoin().
    bool seat_lost = false;
};

/// Proof that a ledger version was current at `as_of`. Messages to peers carry its age (the
/// sender's clock minus `as_of`) instead of `as_of`.
struct ledger_proof {
    std::uint64_t ledger_version = 0;
    std::uint64_t store_version = 0;
    time_point as_of{};
};

/// Manages this node's seat: joins the ledger, proves that the seat is current, replaces witnesses
/// and moves units to nodes with fewer. Also reclaims the seats of lost nodes. Does no I/O: the
/// caller performs the store calls and messages that step() returns and passes their results back.
/// At most one store write is outstanding. Not synchronised.
///
/// Four rules prevent over-admission. A reduction of units takes effect in memory before it is
/// written and lasts until the outcome of the write is known. A gain takes effect only when a
/// committed ledger contains it. Only the holder of a seat reduces its units or replaces its
/// witnesses. A seat is removed only after its holder's fence and loans have ended by the remover's
/// own clock.
class seat_controller {
public:
    seat_controller(seat_key own_key, data_centre own_centre, std::string own_address,
                    node_quota& own_quota);

    /// Returns the store calls and messages that are due. Call it about every 100 ms, and
    /// earlier if a result passed back makes something due.
    seat_actions step(const std::vector<seat_peer>& peers, random_engine& random, time_point now);

    /// Records the outcome of the write that step() returned. `version` is the store's version
    /// after it.
    void record_write_outcome(ledger_write_outcome outcome, std::uint64_t version, time_point now);
    /// Records a value read from the store. A missing key has version 0 and no book.
    void record_read(const std::optional<ledger>& book, std::uint64_t store_version,
                     time_point now);
    /// Records a read that failed, and schedules the next one.
    void record_read_failure(time_point now);
    /// Records a ledger received from a peer. An older one is ignored.
    void record_relayed_ledger(const ledger& book, std::uint64_t store_version, time_point now);
    /// Records the proof in an acknowledgement. Its `as_of` is the time at which the ping was sent
    /// minus the age that the peer stated. Returns false if this node's copy of the ledger is older
    /// than the proved version and has to be fetched.
    bool record_proof(const ledger_proof& proof, time_point now);
    /// Records whether the acknowledgement of a ping sent at `as_of` contained a witness promise.
    void record_promise(const seat_key& witness, bool was_promised, time_point as_of);
    /// Records a witness's reply to a consent request.
    void record_consent_reply(const seat_key& witness, const consent_reply& reply, time_point now);

    /// Whether an acknowledgement to `holder` carries this node's promise as a witness.
    bool promises(const seat_key& holder, time_point now) const;
    /// Handles a consent request. `last_heard` is the time of the latest message from the seat's
    /// holder.
    consent_reply handle_consent_request(const consent_request& request, time_point last_heard,
                                         time_point now);

    /// Starts the graceful stop: the seat's units are no longer used, and the node leaves the
    /// ledger when the loans that it lent have ended, and its claims are handed over (see
    /// set_claims_handed_over()) or the hand-over has timed out.
    void stop(time_point now);
    void set_claims_handed_over(std::uint64_t seat_version);
    /// Whether this node is stopping and its seat has been removed from the ledger.
    bool has_left() const;
    /// Continues as a new run after `seat_lost`.
    void rejoin(const seat_key& next_key, time_point now);

    const ledger& book() const { return this->known_ledger; }
    bool knows_ledger() const { return this->has_ledger; }
    /// Store version of book(), to be sent along with it.
    std::uint64_t known_store_version() const { return this->store_version; }
    ledger_proof proof() const { return this->current_proof; }
    bool has_open_fence(time_point now) const { return this->own_fence.is_open(now); }
    const seat_key& key() const { return this->self; }
    /// Peers with two-way contact and a seat with units, for node_quota::plan_loan_messages().
    std::vector<seat_key> lenders(const std::vector<seat_peer>& peers) const;

private:
    struct outstanding_write {
        ledger book;
        std::uint64_t expected_version = 0;
        std::string kind;
        time_point sent{};
    };

    const seat* own_seat() const { return this->known_ledger.find(this->self); }
    bool adopt(const ledger& book, std::uint64_t store_version, time_point now);
    void resolve_undecided(time_point now);
    void track_seats(time_point now);
    void apply_units(time_point now);
    void refresh_proof(std::uint64_t version, time_point as_of);
    std::size_t rank(const std::vector<seat_peer>& peers, time_point now) const;
    time_point last_contact(const std::vector<seat_peer>& peers, const seat_key& holder) const;
    std::optional<ledger_write> choose_write(const std::vector<seat_peer>& peers, time_point now);
    std::optional<ledger_write> own_seat_change(const std::vector<seat_peer>& peers,
                                                time_point now);
    std::optional<ledger_write> join_or_leave(time_point now);
    std::optional<ledger_write> repair_witnesses(const std::vector<seat_peer>& peers,
                                                 time_point now);
    std::optional<ledger_write> plan_removal(const std::vector<seat_peer>& peers, time_point now);
    std::optional<ledger_write> plan_balance(const std::vector<seat_peer>& peers, time_point now);
    std::optional<ledger_write> plan_split(const std::vector<seat_peer>& peers, time_point now);
    std::optional<ledger_write> plan_proof(const std::vector<seat_peer>& peers, time_point now);
    std::optional<ledger_write> make_write(const char* kind, std::optional<ledger> book) const;
    void start_write(const ledger_write& write, time_point now);

    seat_key self;
    data_centre centre;
    std::string address;
    node_quota& quota;
    fence own_fence;
    witness_state witnesses;
    reclaim_tracker reclaims;
    ledger known_ledger;
    ledger_proof current_proof;
    std::uint64_t store_version = 0;
    bool has_ledger = false;
    bool was_seated = false;
    bool stopping = false;
    bool leave_written = false;
    bool needs_read = true;
    std::uint64_t handed_over_version = 0;
    std::optional<outstanding_write> writing;
    /// Expected version of the latest write that was not reported as written. The write may have
    /// taken effect, or may still do so, until a ledger with a higher store version is known. This
    /// includes conflicts, because a transport that repeats a write reports a conflict with its own
    /// first attempt.
    std::optional<std::uint64_t> undecided_version;
    /// Units removed in memory for a split whose outcome is not known yet.
    std::int64_t pending_reduction = 0;
    bool reduction_written = false;
    std::optional<seat_key> split_to;
    /// Witnesses in a replacement whose outcome is not known yet.
    std::optional<std::vector<seat_key>> pending_witnesses;
    /// For each witness of this node's seat: the time of its latest promise, or when it became a
    /// witness.
    std::map<seat_key, time_point> last_promises;
    /// When this node first saw each seat, so that a node is not suspected before a message from it
    /// could arrive.
    std::map<seat_key, time_point> first_seen;
    std::size_t last_rank = 0;
    time_point stop_time{};
    time_point next_write{};
    time_point next_read{};
    time_point free_since{};
    duration conflict_delay{};
    time_point last_step{};
    time_point resumed_at{};
};

} // namespace dragonflyroad
