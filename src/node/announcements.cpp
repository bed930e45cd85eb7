#include "node/announcements.hpp"

#include "adapters/address.hpp"
#include "core/failure.hpp"

#include <utility>

#include <nlohmann/json.hpp>

namespace dragonflyroad {
namespace {

constexpr std::uint32_t max_slots = 65'536;

} // namespace

std::optional<announced_upstream> parse_announcement(const std::string& body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return fail("announce", "", "the body is not a JSON object");
    }
    for (const auto& [key, value] : json.items()) {
        if (key != "service" && key != "address" && key != "slots" && key != "state") {
            return fail("announce", "", "unknown key " + key);
        }
    }
    const auto text = [&](const char* key) {
        const auto found = json.find(key);
        return found != json.end() && found->is_string() ? found->get<std::string>()
                                                         : std::string{};
    };
    announced_upstream upstream;
    upstream.id = upstream_id{text("address")};
    upstream.service = service_name{text("service")};
    if (upstream.service.empty()) {
        return fail("announce", upstream.id.value, "service must be a name");
    }
    const auto address = parse_address(upstream.id.value);
    if (!address || address->port == 0) {
        return fail("announce", upstream.id.value, "address must be \"ip:port\"");
    }
    const auto slots = json.find("slots");
    if (slots == json.end() || !slots->is_number_unsigned() || *slots < 1U || *slots > max_slots) {
        return fail("announce", upstream.id.value, "slots must be a whole number from 1 to 65536");
    }
    upstream.slots = slots->get<std::uint32_t>();
    const std::string state = text("state");
    if (state != "ready" && state != "draining") {
        return fail("announce", upstream.id.value, "state must be \"ready\" or \"draining\"");
    }
    upstream.draining = state == "draining";
    return upstream;
}

} // namespace dragonflyroad
