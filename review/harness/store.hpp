#pragma once

#include "review/harness/http.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

/// The platform's store: items, transactions, leases and watches, without faults.
class store {
public:
    store();

    void start(const std::string& address);
    void stop();
    void silence_open_connections() { this->server.silence_open_connections(); }
    /// Writes the operator's configuration.
    void configure(const nlohmann::json& configuration);
    /// The keys under a prefix.
    std::vector<std::string> keys(const std::string& prefix);

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created_at = 0;
        std::uint64_t lease = 0;
    };
    struct lease {
        std::chrono::milliseconds time_to_live{0};
        std::chrono::steady_clock::time_point expires_at;
    };

    bool handle(connection& link, const request& received);
    response answer_call(const request& received);
    response read_key(const std::string& query);
    response read_range(const std::string& query);
    response watch(const std::string& query);
    response commit(const std::string& body);
    response grant(const std::string& body);
    response keep(std::uint64_t id);
    void put(const std::string& key, const std::string& value, std::uint64_t lease_id,
             std::uint64_t next);
    void remove(const std::string& key, std::uint64_t next);
    void end(std::uint64_t id);
    void expire();
    static nlohmann::json row(const std::string& key, const item& found);

    http_server server;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, item> items;
    std::map<std::uint64_t, lease> leases;
    std::vector<nlohmann::json> events;
    std::uint64_t revision = 1;
    std::uint64_t last_lease = 0;
    bool is_stopping = false;
    std::thread expiry;
};

} // namespace review
