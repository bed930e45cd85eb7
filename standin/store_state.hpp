#pragma once

#include "core/clock.hpp"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace dragonflyroad::standin {

enum class store_mode { up, down, slow, lose_replies, stale };

/// A fault injected into the stand-in store. `down` closes connections without a reply; calls have
/// no effect. `slow` delays every call. `lose_replies` applies writes, removals and lease calls but
/// closes the connection without a reply. `stale` serves reads and watches from a snapshot taken
/// when the fault was set; writes are still compared with the current versions.
struct store_fault {
    store_mode mode = store_mode::up;
    std::chrono::milliseconds delay{0};
    /// Number of affected calls after which the fault ends (`down` and `lose_replies`).
    std::uint64_t count = std::numeric_limits<std::uint64_t>::max();
};

enum class store_call { read, write, remove, watch, lease, renew };

/// The response to a call. `replied` is false when the connection is closed without one.
struct store_response {
    bool replied = true;
    int status = 200;
    std::uint64_t version = 0;
    std::string body;
};

/// The state of the stand-in store: versioned values, leases, faults and call counts. The
/// versions of a key keep increasing after its removal. Thread-safe; watches and slow calls
/// block until stop() at the latest.
class store_state {
public:
    /// Status 200 with the value, or 404.
    store_response read(const std::string& key);
    store_response write(const std::string& key, const std::string& bytes,
                         std::uint64_t expected_version, std::uint64_t lease_id = 0);
    store_response remove(const std::string& key, std::uint64_t expected_version);
    store_response watch(const std::string& key, std::uint64_t after, time_point deadline);
    store_response grant_lease(std::chrono::milliseconds ttl);
    store_response renew_lease(std::uint64_t id);

    void set_fault(const store_fault& new_fault);
    /// Number of calls by kind, including those that a fault affected.
    std::map<std::string, std::uint64_t> calls() const;
    /// Ends all waits; until resume(), all calls close their connection without a reply.
    void stop();
    void resume();

private:
    struct entry {
        std::string bytes;
        std::uint64_t version = 0;
        bool exists = false;
        std::uint64_t lease_id = 0;
    };
    struct lease {
        std::chrono::milliseconds ttl{0};
        time_point deadline;
    };
    using lock = std::unique_lock<std::mutex>;

    /// Counts the call and applies `slow` and `down`; returns whether the call goes on.
    bool begin_call(lock& guard, store_call call);
    /// Ends a call that changes state: wakes the watches and applies `lose_replies`.
    store_response finish_write(store_response response);
    store_response read_entry(const std::string& key) const;
    void remove_entry(entry& removed);
    void expire_leases();
    /// The earlier of the first lease expiry and `deadline`.
    time_point next_expiry(time_point deadline) const;

    mutable std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, entry> entries;
    std::map<std::string, entry> stale_entries;
    std::map<std::uint64_t, lease> leases;
    std::map<store_call, std::uint64_t> call_counts;
    store_fault fault;
    std::uint64_t last_lease = 0;
    bool stopping = false;
};

} // namespace dragonflyroad::standin
