#include "mesh/node_directory.hpp"

#include "adapters/address.hpp"
#include "core/failure.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace dragonflyroad {

namespace {

/// Entries of nodes take about 200 bytes; a longer text is not parsed.
constexpr std::size_t max_entry_bytes = 4U << 10U;

constexpr std::uint64_t max_slots = 65'535;

bool is_valid_address(const std::string& text)
{
    const auto address = parse_address(text);
    return address && address->port != 0;
}

} // namespace

std::string node_entry::to_text() const
{
    const nlohmann::json document{{"node", this->node.value},       {"run", this->node_incarnation},
                                  {"address", this->address},       {"centre", this->centre.value},
                                  {"service", this->service.value}, {"slots", this->slots},
                                  {"report", this->report_address}};
    return document.dump();
}

std::optional<node_entry> node_entry::from_text(const std::string& text, const std::string& source)
{
    if (text.size() > max_entry_bytes) {
        return fail("decode node entry", source,
                    "an entry has at most " + std::to_string(max_entry_bytes) + " bytes, got " +
                        std::to_string(text.size()));
    }
    try {
        const auto document = nlohmann::json::parse(text);
        node_entry entry;
        const auto& slots = document.at("slots");
        if (!document.at("run").is_number_unsigned() || !slots.is_number_unsigned() ||
            slots.get<std::uint64_t>() > max_slots) {
            return fail("decode node entry", source,
                        "run must be an unsigned integer and slots one of at most " +
                            std::to_string(max_slots));
        }
        entry.node = node_id{document.at("node").get<std::string>()};
        entry.node_incarnation = document.at("run").get<incarnation>();
        entry.address = document.at("address").get<std::string>();
        entry.centre = data_centre{document.at("centre").get<std::string>()};
        entry.service = service_name{document.at("service").get<std::string>()};
        entry.slots = slots.get<std::uint32_t>();
        entry.report_address = document.value("report", "");
        if (!is_valid_address(entry.address)) {
            return fail("decode node entry", source,
                        "address must be ip:port with a port from 1 to 65535, got " +
                            entry.address);
        }
        return entry;
    }
    catch (const nlohmann::json::exception& error) {
        return fail("decode node entry", source, error.what());
    }
}

const node_entry* node_directory::find(const node_id& node) const
{
    const auto found = this->entries.find(node);
    return found == this->entries.end() ? nullptr : &found->second;
}

void node_directory::put(const node_entry& entry)
{
    const auto [found, is_new] = this->entries.try_emplace(entry.node, entry);
    if (is_new || !(found->second == entry)) {
        found->second = entry;
        this->listed.clear();
    }
}

void node_directory::remove(const node_id& node)
{
    this->entries.erase(node);
    this->listed.clear();
}

service_candidates& node_directory::candidates(const service_name& service, const node_id& self,
                                               const data_centre& centre)
{
    const auto known = this->listed.find(service);
    if (known != this->listed.end()) {
        return known->second;
    }
    std::vector<vm_candidate> found;
    for (const auto& [node, entry] : this->entries) {
        if (entry.service == service && !this->evacuated.contains(entry.centre)) {
            found.push_back({node, entry.centre == centre, node == self});
        }
    }
    return this->listed[service] = service_candidates{found};
}

bool node_directory::set_evacuated(const data_centre& centre, bool is_evacuated)
{
    const bool is_change =
        is_evacuated ? this->evacuated.add(centre) : this->evacuated.remove(centre);
    if (is_change) {
        this->listed.clear();
    }
    return is_change;
}

std::size_t node_directory::count_upstreams(const service_name& service) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->entries, [&](const auto& item) { return item.second.service == service; }));
}

bool node_directory::is_evacuated(const service_name& service) const
{
    return this->count_upstreams(service) > 0 &&
           std::ranges::none_of(this->entries, [&](const auto& item) {
               return item.second.service == service &&
                      !this->evacuated.contains(item.second.centre);
           });
}

} // namespace dragonflyroad
