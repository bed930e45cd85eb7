#include "node/node_status.hpp"

#include <chrono>
#include <map>

#include <nlohmann/json.hpp>

namespace dragonflyroad {
namespace {

using nlohmann::ordered_json;

const char* to_code(node_phase phase)
{
    switch (phase) {
    case node_phase::starting:
        return "starting";
    case node_phase::serving:
        return "serving";
    case node_phase::leaving:
        return "leaving";
    case node_phase::stopping:
        break;
    }
    return "stopping";
}

const char* to_code(configuration_freshness state)
{
    switch (state) {
    case configuration_freshness::current:
        return "current";
    case configuration_freshness::fleet_only:
        return "fleet_only";
    case configuration_freshness::isolated:
        break;
    }
    return "isolated";
}

ordered_json describe_upstreams(const status_sources& sources)
{
    ordered_json list = ordered_json::array();
    std::map<service_name, std::map<upstream_id, ejection_step>> steps;
    for (const announced_upstream& upstream : sources.members.upstreams()) {
        const auto [service, is_new] = steps.try_emplace(upstream.service);
        if (is_new) {
            service->second = sources.upstreams.steps(upstream.service);
        }
        const auto step = service->second.find(upstream.id);
        list.push_back(
            {{"address", upstream.id.value},
             {"service", upstream.service.value},
             {"slots", upstream.slots},
             {"state", upstream.draining ? "draining" : "ready"},
             {"step", step == service->second.end() ? "unknown" : to_code(step->second)}});
    }
    return list;
}

ordered_json describe_peers(const status_sources& sources)
{
    ordered_json list = ordered_json::array();
    for (const known_peer& peer : sources.members.known_peers()) {
        ordered_json entry{{"id", peer.descriptor.node.value},
                           {"admin_address", peer.descriptor.admin_address},
                           {"state", to_code(peer.state)}};
        if (const auto revision = sources.replicator.revision_of(peer.descriptor.node)) {
            entry["revision"] = *revision;
        }
        list.push_back(std::move(entry));
    }
    return list;
}

} // namespace

std::string describe_node(const status_sources& sources, time_point now)
{
    ordered_json body;
    body["node"] = sources.node.value;
    body["data_centre"] = sources.centre.value;
    body["state"] = to_code(sources.shared_state.phase.load());
    body["revision"] = sources.config.revision();
    body["freshness"] = to_code(sources.config.state(now));
    const config_counts counts = sources.config.counts();
    body["config_refused"] = counts.refused;
    body["config_older"] = counts.older;
    const seat_status seat = sources.quota.status(now);
    body["fence"] = seat.is_fence_open ? "open" : "closed";
    body["seat_units"] = seat.units;
    body["upstreams"] = describe_upstreams(sources);
    body["peers"] = describe_peers(sources);
    return body.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

} // namespace dragonflyroad
