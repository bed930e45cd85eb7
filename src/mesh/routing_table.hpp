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

/// What may be repeated: bulk reads are repeatable and have large answers.
enum class repeat_kind { repeatable, at_most_once, bulk_read };

struct weighted_service {
    service_name service;
    std::uint32_t weight = 1;
};

/// How requests of one host and path prefix are served.
struct route_rule {
    route_name name;
    std::string host;
    std::string prefix;
    repeat_kind kind = repeat_kind::at_most_once;
    /// Longest time that a caller is kept waiting.
    std::chrono::milliseconds timeout{0};
    /// Time within which an answer has its full value.
    std::chrono::milliseconds objective{0};
    /// 0 is the most urgent.
    int priority = 0;
    /// Upstreams that one request may be sent to, the first included.
    std::uint32_t max_attempts = 1;
    /// Needs no key.
    bool is_public = false;
    /// Requests are divided between these by weight.
    std::vector<weighted_service> services;

    bool may_repeat() const { return this->kind != repeat_kind::at_most_once; }
};

struct organisation_rule {
    organisation_limit limit;
    std::optional<int> priority;
};

/// Bounds on what a caller may send and how long it may take.
struct caller_limits {
    std::size_t header_bytes = 16U << 10U;
    std::size_t body_bytes = 64U << 20U;
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// One revision of the operators' configuration as the request path needs it. Keys are held as
/// digests only. Immutable once published.
class routing_table {
public:
    void set_revision(revision_number latest) { this->number = latest; }
    void add_route(route_rule rule);
    void add_organisation(const organisation_id& id, const organisation_rule& rule);
    void add_key(std::string digest, organisation_id owner);
    void set_limits(const caller_limits& limits) { this->bounds = limits; }

    revision_number revision() const { return this->number; }
    const caller_limits& limits() const { return this->bounds; }
    /// Whether requests must carry a key, except on public routes.
    bool has_organisations() const { return !this->organisations.empty(); }

    /// The route of the host with the longest prefix of the path, or nothing.
    const route_rule* match(std::string_view host, std::string_view path) const;

    /// The organisation that holds the key with this digest.
    const organisation_id* owner_of(const std::string& digest) const;
    const organisation_rule* find_organisation(const organisation_id& id) const;

    /// The form in which nodes pass a configuration to each other.
    nlohmann::json to_json() const;
    /// Nothing when the document is not a routing table; the reason is in last_failure().
    static std::optional<routing_table> from_json(const nlohmann::json& document,
                                                  const std::string& peer);

private:
    using prefix_map = std::unordered_map<std::string, std::size_t>;

    revision_number number = 0;
    caller_limits bounds;
    std::vector<route_rule> routes;
    std::unordered_map<std::string, prefix_map> hosts;
    std::map<organisation_id, organisation_rule> organisations;
    std::unordered_map<std::string, organisation_id> key_owners;
};

/// Draws one of the route's services by weight.
const service_name& choose_service(const route_rule& route, random_engine& random);

} // namespace dragonflyroad
