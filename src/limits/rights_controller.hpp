#pragma once

#include "core/clock.hpp"
#include "core/random.hpp"
#include "limits/fence.hpp"
#include "limits/ledger.hpp"
#include "limits/messages.hpp"
#include "limits/reclaim_tracker.hpp"
#include "limits/rights.hpp"
#include "limits/witness_book.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// What the controller needs to know about a peer.
struct rights_peer {
    seat_key key;
    /// Latest message received from it, or latest time at which another peer heard it.
    time_point last_heard{};
    /// Two-way contact is proved, so it can be asked for loans.
    bool two_way = false;
};

/// A compare-and-swap of `rights/ledger` for the shell to attempt. The outcome must be passed to
/// note_write(); until then the controller returns no other write.
struct ledger_write {
    ledger book;
    std::uint64_t expected_version = 0;
    /// For logs: "join", "proof", "mark" and so on.
    std::string kind;
};

/// Results of a write as the store reports them; `unknown` covers time-outs and lost replies.
enum class ledger_write_outcome { written, conflict, unknown };

/// What the shell has to do after a step.
struct rights_step {
    std::optional<ledger_write> write;
    /// Read `rights/ledger` and pass it to note_read().
    bool read_ledger = false;
    std::vector<addressed<consent_request>> consents;
    /// The fence is closed or close to it: ping the witnesses and a few peers now.
    bool wants_proof = false;
    /// The seat was reclaimed. The process must take a new run number and call rejoin().
    bool seat_lost = false;
};

/// Proof of currency, for pings and acknowledgements. The age is the sender's clock less `as_of`.
struct ledger_proof {
    std::uint64_t ledger_version = 0;
    std::uint64_t store_version = 0;
    time_point as_of{};
};

/// Keeps this node's seat: joins, proves and repairs it, gives units to newcomers and reclaims
/// seats of lost nodes. Pure: the shell performs the store calls and messages that step() returns
/// and feeds the results back. One store write is outstanding at a time. Not synchronised.
///
/// Safety rests on four rules. A reduction takes effect in memory before it is written and lasts
/// until the outcome of the write is decided. A gain takes effect only when a committed ledger
/// shows it. Only the holder reduces its own units and changes its own witnesses. A seat is removed
/// only after its holder's fence and loans have ended by the remover's own clock.
class rights_controller {
public:
    rights_controller(seat_key own_key, data_centre own_centre, std::string own_address,
                      rights& own_rights);

    /// Call about every 100 ms, and right after a note_ call when something is due.
    rights_step step(const std::vector<rights_peer>& peers, random_engine& random, time_point now);

    /// The result of the write that step() returned; `version` is the store's version after it.
    void note_write(ledger_write_outcome outcome, std::uint64_t version, time_point now);
    /// A value read from the store. A missing key has version zero and no book.
    void note_read(const std::optional<ledger>& book, std::uint64_t store_version, time_point now);
    /// The store did not answer a read.
    void note_read_failed(time_point now);
    /// A ledger received from a peer; older ones are ignored.
    void note_relayed(const ledger& book, std::uint64_t store_version, time_point now);
    /// A proof in an acknowledgement. `as_of` is the time the ping was sent less the stated age.
    /// Returns false when this node's copy is older, so that the ledger has to be fetched.
    bool note_proof(const ledger_proof& proof, time_point now);
    /// An acknowledgement with a witness promise, for a ping sent at `as_of`.
    void note_promise(const seat_key& witness, bool was_promised, time_point as_of);
    void note_consent(const seat_key& witness, const consent_reply& reply, time_point now);

    /// Whether an acknowledgement to `holder` carries this node's promise.
    bool promises(const seat_key& holder, time_point now) const;
    /// Answers a peer that wants to reclaim a seat.
    consent_reply answer(const consent_request& request, time_point last_heard, time_point now);

    /// Begins the graceful stop: no admissions from the seat, then leave. `claims_handed_over` may
    /// be set later; the seat is left when loans have ended and claims are handed over.
    void stop(time_point now);
    void set_claims_handed_over(std::uint64_t seat_version);
    /// True when the seat is gone from the ledger.
    bool has_left() const;
    /// Continues as another run after `seat_lost`.
    void rejoin(const seat_key& next_key, time_point now);

    const ledger& book() const { return this->copy; }
    bool knows_ledger() const { return this->known; }
    /// Store version of the copy, to be sent along with it.
    std::uint64_t known_store_version() const { return this->store_version; }
    ledger_proof proof() const { return this->proved; }
    bool is_open(time_point now) const { return this->guard.is_open(now); }
    const seat_key& key() const { return this->self; }
    /// Seated peers with two-way contact, for rights::wanted().
    std::vector<seat_key> lenders(const std::vector<rights_peer>& peers) const;

private:
    struct outstanding_write {
        ledger book;
        std::uint64_t expected_version = 0;
        std::string kind;
        time_point sent{};
    };

    const seat* own_seat() const { return this->copy.find(this->self); }
    bool adopt(const ledger& book, std::uint64_t store_version, time_point now);
    void settle(time_point now);
    void note_seats(time_point now);
    void apply_units(time_point now);
    void refresh_proof(std::uint64_t version, time_point as_of);
    std::size_t rank(const std::vector<rights_peer>& peers, time_point now) const;
    time_point heard(const std::vector<rights_peer>& peers, const seat_key& holder) const;
    std::optional<ledger_write> choose(const std::vector<rights_peer>& peers, time_point now);
    std::optional<ledger_write> own_change(const std::vector<rights_peer>& peers, time_point now);
    std::optional<ledger_write> join_or_leave(time_point now);
    std::optional<ledger_write> repair_witnesses(const std::vector<rights_peer>& peers,
                                                 time_point now);
    std::optional<ledger_write> removal(const std::vector<rights_peer>& peers, time_point now);
    std::optional<ledger_write> balance(const std::vector<rights_peer>& peers, time_point now);
    std::optional<ledger_write> give(const std::vector<rights_peer>& peers, time_point now);
    std::optional<ledger_write> prove(const std::vector<rights_peer>& peers, time_point now);
    std::optional<ledger_write> make(const char* kind, std::optional<ledger> book) const;
    void begin(const ledger_write& write, time_point now);

    seat_key self;
    data_centre centre;
    std::string address;
    rights& quota;
    fence guard;
    witness_book witnesses;
    reclaim_tracker reclaims;
    ledger copy;
    ledger_proof proved;
    std::uint64_t store_version = 0;
    bool known = false;
    bool seated_before = false;
    bool stopping = false;
    bool gone = false;
    bool wants_read = true;
    std::uint64_t handed_over_version = 0;
    std::optional<outstanding_write> writing;
    /// Expected version of the latest write that was not reported as written. It may have taken
    /// effect, or still do so, until a ledger with a higher store version is known. A conflict
    /// counts as undecided too: a transport that repeats a write reports a conflict with the first
    /// copy.
    std::optional<std::uint64_t> undecided;
    /// Units removed in memory for a split that is not decided yet.
    std::int64_t reduced = 0;
    bool reduction_written = false;
    std::optional<seat_key> split_to;
    /// Witnesses named in a replacement that is not decided yet.
    std::optional<std::vector<seat_key>> replacing;
    /// Latest promise of each own witness, or when it was named.
    std::map<seat_key, time_point> promised;
    /// When this node first saw each seat; nobody is suspected before it could be heard.
    std::map<seat_key, time_point> first_seen;
    std::size_t last_rank = 0;
    time_point stop_time{};
    time_point next_write{};
    time_point next_read{};
    time_point free_since{};
    duration conflict_delay{};
    time_point last_step{};
    time_point resumed{};
};

} // namespace dragonflyroad
