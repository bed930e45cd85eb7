#pragma once

#include "core/clock.hpp"
#include "dispatch/store_position.hpp"
#include "mesh/event_loop_http_server.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

/// A stand-in for the platform's key-value store, over HTTP as on the platform's page. Leases
/// expire. It can go back to an older copy of itself, which begins a new era.
class kv_standin {
public:
    struct item {
        std::string value;
        dragonflyroad::store_revision revision = 0;
        dragonflyroad::store_lease lease = 0;
        bool is_removed = false;
    };
    struct lease_time {
        std::chrono::milliseconds time_to_live{0};
        dragonflyroad::time_point until{};
    };
    struct contents {
        std::map<std::string, item> items;
        std::map<dragonflyroad::store_lease, lease_time> leases;
        dragonflyroad::store_revision revision = 1;
        dragonflyroad::store_lease last_lease = 0;
    };

    explicit kv_standin(boost::asio::io_context& loop);

    bool listen(const std::string& address) { return this->server.listen(address); }

    contents copy() const { return this->now_stored; }
    void go_back_to(const contents& older)
    {
        this->now_stored = older;
        ++this->era;
    }

    /// Writes as the operators do.
    void put(const std::string& key, const std::string& value,
             dragonflyroad::store_lease lease = 0);
    std::optional<std::string> value(const std::string& key) const;
    std::size_t count(const std::string& prefix) const;

    dragonflyroad::store_era era = 1;

private:
    using query = std::map<std::string, std::string>;

    std::shared_ptr<dragonflyroad::served_request> serve(const dragonflyroad::http_request& request,
                                                         const dragonflyroad::response_function&);
    dragonflyroad::http_response respond(int status, const nlohmann::json& body) const;
    void expire_leases();
    void watch(const query& fields, dragonflyroad::time_point until,
               const dragonflyroad::response_function& answer);
    dragonflyroad::http_response range(const query& fields) const;
    dragonflyroad::http_response commit(const nlohmann::json& body);
    dragonflyroad::http_response change_lease(const std::string& method, const std::string& path,
                                              const std::string& body);

    boost::asio::io_context& context;
    dragonflyroad::event_loop_http_server server;
    contents now_stored;
};
