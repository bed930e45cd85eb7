#pragma once

#include "net.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

std::string encode_base64(const std::string& bytes);

/// A stand-in for the platform's store. It loses nothing, and its answers are linearizable. Each
/// machine calls it at a door of its own, so that it can turn away a single machine.
class platform_store {
public:
    enum class door_state {
        open,
        /// Takes calls and neither executes nor answers them.
        silent,
        /// Answers 503, which means that nothing was done.
        busy,
    };

    platform_store();

    /// Listens for the calls of one machine.
    bool add_door(const std::string& machine, const address& local);
    void set_door(const std::string& machine, door_state state);

    /// Writes an item as the operator does. The return is the confirmation.
    void put(const std::string& key, const std::string& value);

    /// Makes all answers state the era, as of a store that has drills.
    void state_era() { this->states_era = true; }
    /// Keeps a copy of what is stored now.
    void copy();
    /// A drill: the store takes no calls for that time and comes back from the copy. What was
    /// written since is gone, leases too, and the era rises by one. The leases of the copy have
    /// their whole time from then on.
    void go_back(milliseconds away);
    bool has(const std::string& key);

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created_at = 0;
        std::uint64_t lease = 0;
    };
    struct lease_state {
        milliseconds time_to_live{0};
        steady::time_point until;
    };

    struct contents {
        std::map<std::string, item> items;
        std::map<std::uint64_t, lease_state> leases;
        std::vector<nlohmann::json> history;
        std::uint64_t revision = 100;
        std::uint64_t last_lease = 0;
    };

    void handle(const std::string& machine, connection& caller);
    /// False when the call gets no answer.
    bool answer(const std::string& machine, const message& call, connection& caller);
    std::pair<int, nlohmann::json> execute(const message& call);
    std::pair<int, nlohmann::json> range(const std::string& target);
    std::pair<int, nlohmann::json> watch(const std::string& target);
    std::pair<int, nlohmann::json> commit(const std::string& body);
    std::pair<int, nlohmann::json> change_lease(const message& call);
    nlohmann::json row(const std::string& key, const item& stored) const;
    void write(const std::string& key, const std::string& value, std::uint64_t lease);
    void remove(const std::string& key);
    void expire_leases();

    std::mutex guard;
    std::condition_variable changed;
    std::map<std::string, door_state> doors;
    contents now;
    contents older;
    std::uint64_t era = 1;
    bool states_era = false;
};

} // namespace review
