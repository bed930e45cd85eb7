#include "node/head_reader.hpp"

#include "core/failure.hpp"

#include <nlohmann/json.hpp>

namespace dragonflyroad {
namespace {

using nlohmann::json;

void read_profiles(const json& list, configuration& config)
{
    for (const json& item : list) {
        profile rules;
        rules.name = profile_name{item.at("name").get<std::string>()};
        rules.timeout = std::chrono::milliseconds{item.value("timeout_ms", 10'000)};
        rules.idle_timeout = std::chrono::milliseconds{item.value("idle_timeout_ms", 5'000)};
        rules.queue_timeout = std::chrono::milliseconds{item.value("queue_timeout_ms", 1'000)};
        rules.max_body_bytes = item.value("max_body_bytes", rules.max_body_bytes);
        rules.retry_budget = item.value("retry_budget", rules.retry_budget);
        config.profiles[rules.name] = rules;
    }
}

void read_routes(const json& list, configuration& config)
{
    for (const json& item : list) {
        route entry;
        entry.name = route_name{item.at("name").get<std::string>()};
        entry.path_prefix = item.at("path_prefix").get<std::string>();
        entry.service = service_name{item.at("service").get<std::string>()};
        for (const auto& name : item.value("organisations", std::vector<std::string>{})) {
            entry.organisations.insert(organisation_id{name});
        }
        config.routes[entry.name] = entry;
    }
}

void read_tenants(const json& root, configuration& config)
{
    for (const json& item : root.value("organisations", json::array())) {
        organisation entry;
        entry.id = organisation_id{item.at("id").get<std::string>()};
        entry.rate = item.at("rate").get<double>();
        entry.burst = item.at("burst").get<double>();
        entry.weight = item.value("weight", 1.0);
        config.organisations.insert_or_assign(entry.id, entry);
    }
    for (const json& item : root.value("keys", json::array())) {
        key_record entry;
        entry.digest = item.at("digest").get<std::string>();
        entry.organisation = organisation_id{item.at("organisation").get<std::string>()};
        entry.state =
            item.value("state", "granted") == "granted" ? key_state::granted : key_state::withdrawn;
        config.keys.insert_or_assign(entry.digest, entry);
    }
}

} // namespace

std::optional<configuration> read_configuration(const std::string& bytes)
{
    try {
        const json root = json::parse(bytes);
        configuration config;
        config.revision = root.at("revision").get<revision_number>();
        read_profiles(root.value("profiles", json::array()), config);
        for (const json& item : root.value("services", json::array())) {
            const service_name name{item.at("name").get<std::string>()};
            config.services[name] = {name, profile_name{item.at("profile").get<std::string>()}};
        }
        read_routes(root.value("routes", json::array()), config);
        read_tenants(root, config);
        return config;
    }
    catch (const json::exception& error) {
        return fail("read configuration", "store", error.what());
    }
}

} // namespace dragonflyroad
