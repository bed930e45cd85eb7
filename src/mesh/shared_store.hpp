#pragma once

#include "dispatch/store_era_tracker.hpp"
#include "dispatch/store_position.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

struct stored_item {
    std::string key;
    std::string value;
    store_revision revision = 0;
    bool is_removed = false;
};

/// Result of a read: the items, and a revision of the store no later than the read. Changes after
/// that revision may already be part of the items.
struct stored_range {
    std::vector<stored_item> items;
    store_revision revision = 0;
    store_era era = 0;
};

struct stored_changes {
    std::vector<stored_item> items;
    store_revision revision = 0;
    /// The store has discarded changes after the requested revision, or the revision is of an era
    /// that has ended, so all items must be read again.
    bool is_history_lost = false;
    store_era era = 0;
};

/// Condition of a commit: the key must not have changed after this revision; 0 means that the key
/// must not exist.
struct commit_condition {
    std::string key;
    store_revision revision = 0;
};

struct commit_write {
    std::string key;
    std::string value;
    /// The key is removed when this lease ends; 0 attaches it to no lease.
    store_lease lease = 0;
};

struct commit_request {
    std::vector<commit_condition> conditions;
    std::vector<commit_write> writes;
    std::vector<std::string> removals;
};

enum class commit_outcome { committed, conflict, lease_ended, unknown };

enum class lease_outcome { renewed, ended, unknown };

struct lease_grant {
    store_lease lease = 0;
    std::chrono::milliseconds time_to_live{0};
};

/// Whether a read returns the newest items, or may return those of some seconds ago, which the
/// store serves from a replica at a tenth of the price.
enum class read_freshness { newest, may_be_stale };

/// Asynchronous interface of the platform's key-value store. Each callback is called once, on the
/// event loop. When it receives no result, the reason is in last_failure().
///
/// An answer of an ended era is dropped, as if there had been none. A commit, grant or renewal that
/// was sent in one era and answered in the next has no known outcome.
class shared_store {
public:
    shared_store() = default;
    shared_store(const shared_store&) = delete;
    shared_store& operator=(const shared_store&) = delete;
    shared_store(shared_store&&) = delete;
    shared_store& operator=(shared_store&&) = delete;
    virtual ~shared_store() = default;

    /// Reads all items whose key begins with the prefix.
    virtual void read(const std::string& prefix, read_freshness freshness,
                      std::function<void(std::optional<stored_range>)> done) = 0;
    /// Long-polls for changes after a revision: waits for the first one up to `wait`.
    virtual void watch(const std::string& prefix, store_revision after,
                       std::chrono::milliseconds wait,
                       std::function<void(std::optional<stored_changes>)> done) = 0;
    virtual void commit(const commit_request& request,
                        std::function<void(commit_outcome)> done) = 0;
    virtual void grant_lease(std::chrono::milliseconds time_to_live,
                             std::function<void(std::optional<lease_grant>)> done) = 0;
    virtual void renew_lease(store_lease lease, std::function<void(lease_outcome)> done) = 0;
    virtual void end_lease(store_lease lease) = 0;

    /// The newest era that this node has seen.
    const store_era_tracker& eras() const { return this->tracker; }
    store_era era() const { return this->tracker.current(); }
    /// Records an era that another node has seen, for a node that the store turns away.
    void learn_era(store_era stated, const std::string& source);

protected:
    /// Records the era of an answer. False when the answer is to be dropped.
    bool accept_answer(store_era stated);

private:
    bool observe(store_era stated, const std::string& source);

    store_era_tracker tracker;
};

} // namespace dragonflyroad
