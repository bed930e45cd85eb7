#include "mesh/routing_table.hpp"

#include "adapters/http_message.hpp"
#include "core/failure.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

#include <nlohmann/json.hpp>

namespace dragonflyroad {
namespace {

using nlohmann::json;

/// The host name of a Host header in lower case, without the port.
std::string host_name(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    const bool has_port = colon != host.npos && host.find(']', colon) == host.npos;
    return lower_case(has_port ? host.substr(0, colon) : host);
}

json route_to_json(const route_rule& route)
{
    json services = json::array();
    for (const weighted_service& weighted : route.services) {
        services.push_back({weighted.service.value, weighted.weight});
    }
    return {{"host", route.host},
            {"prefix", route.prefix},
            {"kind", static_cast<int>(route.kind)},
            {"timeout_ms", route.timeout.count()},
            {"objective_ms", route.latency_objective.count()},
            {"priority", route.priority},
            {"max_attempts", route.max_attempts},
            {"public", route.is_public},
            {"services", std::move(services)}};
}

route_rule route_from_json(const std::string& name, const json& document)
{
    route_rule route;
    route.name = route_name{name};
    route.host = document.at("host").get<std::string>();
    route.prefix = document.at("prefix").get<std::string>();
    route.kind = static_cast<repeatability>(std::clamp(document.at("kind").get<int>(), 0, 2));
    route.timeout = std::chrono::milliseconds{document.at("timeout_ms").get<std::int64_t>()};
    route.latency_objective =
        std::chrono::milliseconds{document.at("objective_ms").get<std::int64_t>()};
    route.priority = document.at("priority").get<int>();
    route.max_attempts = document.at("max_attempts").get<std::uint32_t>();
    route.is_public = document.at("public").get<bool>();
    for (const json& weighted : document.at("services")) {
        route.services.push_back(
            {service_name{weighted.at(0).get<std::string>()}, weighted.at(1).get<std::uint32_t>()});
    }
    return route;
}

json organisation_to_json(const organisation_rule& rule)
{
    json document{{"rate", rule.limit.rate_per_second}, {"burst", rule.limit.burst}};
    if (rule.priority) {
        document["priority"] = *rule.priority;
    }
    return document;
}

organisation_rule organisation_from_json(const json& document)
{
    organisation_rule rule;
    rule.limit.rate_per_second = document.at("rate").get<double>();
    rule.limit.burst = document.at("burst").get<double>();
    if (document.contains("priority")) {
        rule.priority = document.at("priority").get<int>();
    }
    return rule;
}

json limits_to_json(const caller_limits& limits)
{
    return {{"header_bytes", limits.header_bytes},
            {"body_bytes", limits.body_bytes},
            {"header_timeout_ms", limits.header_timeout.count()},
            {"idle_timeout_ms", limits.idle_timeout.count()}};
}

caller_limits limits_from_json(const json& document)
{
    caller_limits limits;
    limits.header_bytes = document.at("header_bytes").get<std::size_t>();
    limits.body_bytes = document.at("body_bytes").get<std::size_t>();
    limits.header_timeout =
        std::chrono::milliseconds{document.at("header_timeout_ms").get<std::int64_t>()};
    limits.idle_timeout =
        std::chrono::milliseconds{document.at("idle_timeout_ms").get<std::int64_t>()};
    return limits;
}

/// Nodes of earlier versions send none.
void read_cold_rules(const json& document, routing_table& table)
{
    if (!document.contains("cold")) {
        return;
    }
    for (const auto& [service, rule] : document.at("cold").items()) {
        table.add_cold_rule(service_name{service},
                            {rule.at("per_second").get<double>(),
                             std::chrono::milliseconds{rule.at("time_ms").get<std::int64_t>()}});
    }
}

} // namespace

void routing_table::add_route(route_rule rule)
{
    rule.host = lower_case(rule.host);
    this->hosts[rule.host][rule.prefix] = this->routes.size();
    this->routes.push_back(std::move(rule));
}

void routing_table::add_organisation(const organisation_id& id, const organisation_rule& rule)
{
    this->organisations[id] = rule;
}

void routing_table::add_key(std::string digest, organisation_id owner)
{
    this->key_owners.insert_or_assign(std::move(digest), std::move(owner));
}

const route_rule* routing_table::match(std::string_view host, std::string_view path) const
{
    const auto found = this->hosts.find(host_name(host));
    if (found == this->hosts.end()) {
        return nullptr;
    }
    path = path.substr(0, path.find('?'));
    for (std::size_t slash = path.rfind('/'); slash != path.npos;) {
        const auto route = found->second.find(std::string{path.substr(0, slash + 1)});
        if (route != found->second.end()) {
            return &this->routes[route->second];
        }
        slash = slash == 0 ? path.npos : path.rfind('/', slash - 1);
    }
    return nullptr;
}

const organisation_id* routing_table::find_key_owner(const std::string& digest) const
{
    const auto found = this->key_owners.find(digest);
    return found == this->key_owners.end() ? nullptr : &found->second;
}

const organisation_rule* routing_table::find_organisation(const organisation_id& id) const
{
    const auto found = this->organisations.find(id);
    return found == this->organisations.end() ? nullptr : &found->second;
}

cold_rule routing_table::cold_rule_of(const service_name& service) const
{
    const auto found = this->cold_rules.find(service);
    return found == this->cold_rules.end() ? cold_rule{} : found->second;
}

json routing_table::to_json() const
{
    json document{
        {"revision", this->table_revision}, {"limits", limits_to_json(this->request_limits)},
        {"routes", json::object()},         {"organisations", json::object()},
        {"keys", json::object()},           {"cold", json::object()}};
    for (const route_rule& route : this->routes) {
        document["routes"][route.name.value] = route_to_json(route);
    }
    for (const auto& [id, rule] : this->organisations) {
        document["organisations"][id.value] = organisation_to_json(rule);
    }
    for (const auto& [digest, owner] : this->key_owners) {
        document["keys"][digest] = owner.value;
    }
    for (const auto& [service, rule] : this->cold_rules) {
        document["cold"][service.value] = {{"per_second", rule.requests_per_second},
                                           {"time_ms", rule.cold_time.count()}};
    }
    return document;
}

std::optional<routing_table> routing_table::from_json(const json& document, const std::string& peer)
{
    try {
        routing_table table;
        table.table_revision = document.at("revision").get<revision_number>();
        table.request_limits = limits_from_json(document.at("limits"));
        for (const auto& [name, route] : document.at("routes").items()) {
            table.add_route(route_from_json(name, route));
        }
        for (const auto& [id, entry] : document.at("organisations").items()) {
            table.add_organisation(organisation_id{id}, organisation_from_json(entry));
        }
        for (const auto& [digest, owner] : document.at("keys").items()) {
            table.add_key(digest, organisation_id{owner.get<std::string>()});
        }
        read_cold_rules(document, table);
        return table;
    }
    catch (const json::exception& error) {
        return fail("decode configuration", peer, error.what());
    }
}

const service_name& choose_service(const route_rule& route, random_engine& random)
{
    const std::uint64_t total = std::accumulate(
        route.services.begin(), route.services.end(), std::uint64_t{0},
        [](std::uint64_t sum, const weighted_service& weighted) { return sum + weighted.weight; });
    std::uint64_t position = total == 0 ? 0 : uniform_index(random, total);
    for (const weighted_service& weighted : route.services) {
        if (position < weighted.weight) {
            return weighted.service;
        }
        position -= weighted.weight;
    }
    return route.services.front().service;
}

} // namespace dragonflyroad
