#pragma once

#include "mesh/event_loop_http_server.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace dragonflyroad::test {

/// The platform's store for one node: items, transactions, leases that never expire, and watches.
class store_stand_in {
public:
    explicit store_stand_in(boost::asio::io_context& loop);

    bool listen(const std::string& address) { return this->server.listen(address); }
    void close() { this->server.close(); }
    void configure(const nlohmann::json& configuration);

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created_at = 0;
        std::uint64_t lease = 0;
    };

    std::shared_ptr<served_request> serve(const http_request& request,
                                          const response_function& answer);
    http_response read_key(const std::string& key) const;
    http_response read_range(const std::string& prefix, const std::string& after) const;
    void watch(std::string prefix, std::uint64_t after, time_point until,
               const response_function& answer);
    http_response commit(const std::string& body);
    void put(const std::string& key, const std::string& value, std::uint64_t lease);

    boost::asio::io_context& context;
    event_loop_http_server server;
    std::map<std::string, item> items;
    std::vector<nlohmann::json> events;
    std::uint64_t revision = 1;
    std::uint64_t last_lease = 0;
};

} // namespace dragonflyroad::test
