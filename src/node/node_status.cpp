#include "node/node_status.hpp"

#include <nlohmann/json.hpp>

namespace dragonflyroad {

std::string node_status(const node_settings& settings, revision_number revision,
                        const std::vector<announced_upstream>& upstreams)
{
    nlohmann::ordered_json body;
    body["node"] = settings.id.value;
    body["data_centre"] = settings.centre.value;
    body["revision"] = revision;
    body["upstreams"] = nlohmann::ordered_json::array();
    for (const announced_upstream& upstream : upstreams) {
        body["upstreams"].push_back({{"address", upstream.id.value},
                                     {"service", upstream.service.value},
                                     {"slots", upstream.slots},
                                     {"state", upstream.draining ? "draining" : "ready"}});
    }
    return body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace dragonflyroad
