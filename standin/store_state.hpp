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

/// What the stand-in store does wrong. `down` closes connections without reply and without effect.
/// `slow` delays every call. `lose_replies` lets writes take effect and closes the connection
/// without reply. `stale` answers reads and watches with the values of the time when the fault was
/// set; writes still compare with the real versions.
struct store_fault {
    store_mode mode = store_mode::up;
    std::chrono::milliseconds delay{0};
    /// Calls that the fault affects before the store is up again (`down` and `lose_replies`).
    std::uint64_t count = std::numeric_limits<std::uint64_t>::max();
};

enum class store_call { read, write, remove, watch, lease, renew };

/// The answer to a call. `replied` is false when the connection is closed instead.
struct store_answer {
    bool replied = true;
    int status = 200;
    std::uint64_t version = 0;
    std::string body;
};

/// The state of the stand-in store: versioned values, leases, faults and call counts. A key's
/// version goes on rising after the key was removed. Thread-safe; watches and slow calls wait on a
/// condition variable, and stop() ends all waits.
class store_state {
public:
    store_answer read(const std::string& key);
    store_answer write(const std::string& key, const std::string& bytes,
                       std::uint64_t expected_version, std::uint64_t lease_id = 0);
    store_answer remove(const std::string& key, std::uint64_t expected_version);
    store_answer watch(const std::string& key, std::uint64_t after, time_point deadline);
    store_answer grant_lease(std::chrono::milliseconds ttl);
    store_answer renew_lease(std::uint64_t id);

    void set_fault(const store_fault& wanted);
    /// Calls received since the start, by kind; those that a fault affected count too.
    std::map<std::string, std::uint64_t> calls() const;
    /// Ends all waits; calls close their connection until resume().
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

    bool begin(lock& held, store_call call);
    store_answer reply_to_write(store_answer answer);
    store_answer answer_read(const std::string& key) const;
    void remove_entry(entry& removed);
    void expire_leases();
    time_point next_expiry(time_point deadline) const;

    mutable std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, entry> entries;
    std::map<std::string, entry> old_entries;
    std::map<std::uint64_t, lease> leases;
    std::map<store_call, std::uint64_t> counts;
    store_fault fault;
    std::uint64_t last_lease = 0;
    bool stopping = false;
};

} // namespace dragonflyroad::standin
