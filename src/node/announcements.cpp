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

local_announcements::local_announcements(
    std::function<void(const std::vector<announced_upstream>&)> on_change)
    : changed(std::move(on_change))
{
}

void local_announcements::announce(const announced_upstream& upstream, time_point now)
{
    const std::scoped_lock lock{this->mutex};
    entry& known = this->entries[upstream.id];
    const bool is_renewal = known.upstream.service == upstream.service &&
                            known.upstream.slots == upstream.slots &&
                            known.upstream.draining == upstream.draining;
    known = {upstream, now + renewal_window};
    if (!is_renewal) {
        this->changed(this->collect());
    }
}

void local_announcements::withdraw(const upstream_id& upstream)
{
    const std::scoped_lock lock{this->mutex};
    if (this->entries.erase(upstream) > 0) {
        this->changed(this->collect());
    }
}

void local_announcements::expire(time_point now)
{
    const std::scoped_lock lock{this->mutex};
    const auto count =
        std::erase_if(this->entries, [&](const auto& item) { return item.second.overdue <= now; });
    if (count > 0) {
        this->changed(this->collect());
    }
}

std::vector<announced_upstream> local_announcements::list() const
{
    const std::scoped_lock lock{this->mutex};
    return this->collect();
}

std::vector<announced_upstream> local_announcements::collect() const
{
    std::vector<announced_upstream> upstreams;
    for (const auto& [id, known] : this->entries) {
        upstreams.push_back(known.upstream);
    }
    return upstreams;
}

} // namespace dragonflyroad
