#pragma once

#include "record.hpp"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace review2 {

/// The platform's metadata store in memory: items, leases, conditional writes and watches.
class store {
public:
    /// How late a write is done whose answer is lost; nothing for a write that is answered.
    using loss_function = std::function<std::optional<milliseconds>(const nlohmann::json& write)>;

    explicit store(record& log) : journal(log) {}

    void start(const endpoint& place);
    /// Writes an item as the operator does.
    void put(const std::string& key, const std::string& value);
    /// The decoded value, empty if there is none.
    std::string get(const std::string& key);
    /// The keys with this prefix.
    std::vector<std::string> keys(const std::string& prefix);
    void lose_writes(loss_function function);

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created_at = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::uint64_t revision = 0;
        nlohmann::json row;
    };
    struct lease {
        milliseconds time{0};
        steady::time_point ends_at{};
    };
    struct answer {
        int status = 200;
        nlohmann::json body = nlohmann::json::object();
    };

    void handle(connection& peer);
    answer dispatch(const message& request);
    answer range(const std::map<std::string, std::string>& query);
    answer watch(const std::map<std::string, std::string>& query);
    answer commit(const nlohmann::json& write);
    answer grant(const nlohmann::json& wanted);
    answer keep(std::uint64_t id);
    answer end(std::uint64_t id);
    nlohmann::json row_of(const std::string& key, const item& stored) const;
    void write(const std::string& key, const std::string& encoded, std::uint64_t under);
    void remove(const std::string& key);
    void remove_lease(std::uint64_t id);
    void expire();

    record& journal;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, item> items;
    std::map<std::uint64_t, lease> leases;
    std::vector<event> events;
    std::uint64_t revision = 10;
    std::uint64_t last_lease = 100;
    loss_function loss;
};

} // namespace review2
