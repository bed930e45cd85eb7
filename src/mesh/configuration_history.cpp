#include "mesh/configuration_history.hpp"

#include "core/failure.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

using nlohmann::json;

/// Configurations kept: a series of changes 0.2 s apart is bridged for a second and a half.
constexpr std::size_t most_kept = 8;

} // namespace

void configuration_history::add(const routing_table& table)
{
    this->recent.emplace_back(table.revision(), table.to_json());
    if (this->recent.size() > most_kept) {
        this->recent.pop_front();
    }
}

json configuration_history::update_from(revision_number known) const
{
    if (this->recent.empty() || known >= this->recent.back().first) {
        return nullptr;
    }
    const json& newest = this->recent.back().second;
    const auto base =
        std::ranges::find(this->recent, known, &std::pair<revision_number, json>::first);
    if (base == this->recent.end()) {
        return {{"whole", newest}};
    }
    return {{"base", known}, {"patch", json::diff(base->second, newest)}};
}

std::optional<routing_table> configuration_history::apply(const json& update,
                                                          const std::string& source) const
{
    try {
        if (update.contains("whole")) {
            return routing_table::from_json(update.at("whole"), source);
        }
        const auto known = update.at("base").get<revision_number>();
        const auto base =
            std::ranges::find(this->recent, known, &std::pair<revision_number, json>::first);
        if (base == this->recent.end()) {
            return fail("apply configuration patch", source, "its base is not known here");
        }
        return routing_table::from_json(base->second.patch(update.at("patch")), source);
    }
    catch (const json::exception& error) {
        return fail("apply configuration patch", source, error.what());
    }
}

} // namespace dragonflyroad
