#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/random.hpp"
#include "dispatch/organisation_quota.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace dragonflyroad {

/// Whether a request may run more than once. Bulk reads may, and have large responses.
enum class repeatability { repeatable, at_most_once, bulk_read };

struct weighted_service {
    service_name service;
    std::uint32_t weight = 1;
};

/// The rule for requests of one host and path prefix.
struct route_rule {
    route_name name;
    std::string host;
    std::string prefix;
    repeatability kind = repeatability::at_most_once;
    /// Longest time from the arrival of a request to its deadline; a caller may ask for less. 0
    /// sets no limit on the time that a caller asks for.
    std::chrono::milliseconds timeout{0};
    /// Latency objective: responses within this time have their full value to the caller.
    std::chrono::milliseconds latency_objective{0};
    /// 0 is the most urgent.
    int priority = 0;
    /// Greatest number of upstreams that one request is sent to, the first included.
    std::uint32_t max_attempts = 1;
    /// Requests need no API key.
    bool is_public = false;
    /// Requests are distributed over these services in proportion to their weights.
    std::vector<weighted_service> services;

    bool is_repeatable() const { return this->kind != repeatability::at_most_once; }
};

struct organisation_rule {
    organisation_limit limit;
    std::optional<int> priority;
};

/// What the configuration says about cold upstreams of a service.
struct cold_rule {
    /// Requests a second that a cold upstream tolerates; 0: no limit.
    double requests_per_second = 0;
    /// How long an upstream is cold after its start.
    std::chrono::milliseconds cold_time{0};
};

/// Limits on the size of a caller's requests and on the time that it takes to send them.
struct caller_limits {
    std::size_t header_bytes = 16U << 10U;
    std::size_t body_bytes = 64U << 20U;
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// One revision of the operators' configuration, in the form that request processing uses. API keys
/// are held as digests only. Immutable once published.
class routing_table {
public:
    void set_revision(revision_number latest) { this->table_revision = latest; }
    void add_route(route_rule rule);
    void add_organisation(const organisation_id& id, const organisation_rule& rule);
    void add_key(std::string digest, organisation_id owner);
    void add_cold_rule(const service_name& service, const cold_rule& rule)
    {
        this->cold_rules[service] = rule;
    }
    void set_limits(const caller_limits& limits) { this->request_limits = limits; }

    revision_number revision() const { return this->table_revision; }
    const caller_limits& limits() const { return this->request_limits; }
    /// Whether requests must carry an API key, except on public routes.
    bool has_organisations() const { return !this->organisations.empty(); }

    /// The route of the host with the longest prefix that matches the path, or null.
    const route_rule* match(std::string_view host, std::string_view path) const;

    /// The organisation that owns the API key with this digest, or null.
    const organisation_id* find_key_owner(const std::string& digest) const;
    const organisation_rule* find_organisation(const organisation_id& id) const;

    /// The rule of the service; without limits where the configuration states none.
    cold_rule cold_rule_of(const service_name& service) const;

    /// The encoding in which nodes send a configuration to each other.
    nlohmann::json to_json() const;
    /// Returns nothing when a field is missing or has the wrong type; the reason is in
    /// last_failure(), which names `peer` as the sender.
    static std::optional<routing_table> from_json(const nlohmann::json& document,
                                                  const std::string& peer);

private:
    using prefix_map = std::unordered_map<std::string, std::size_t>;

    revision_number table_revision = 0;
    caller_limits request_limits;
    std::vector<route_rule> routes;
    std::unordered_map<std::string, prefix_map> hosts;
    std::map<organisation_id, organisation_rule> organisations;
    std::unordered_map<std::string, organisation_id> key_owners;
    std::map<service_name, cold_rule> cold_rules;
};

/// Chooses one of the route's services at random, in proportion to their weights.
const service_name& choose_service(const route_rule& route, random_engine& random);

} // namespace dragonflyroad
