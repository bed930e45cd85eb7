#include "mesh/configuration_history.hpp"

#include "core/failure.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

using nlohmann::json;

/// Number of configurations retained. With changes 0.2 s apart they cover about 1.5 s.
constexpr std::size_t max_configurations = 8;

} // namespace

void configuration_history::add(const routing_table& table)
{
    this->add(table.revision(), table.to_json());
}

void configuration_history::add(revision_number revision, json document)
{
    this->recent.emplace_back(revision, std::move(document));
    this->updates.clear();
    if (this->recent.size() > max_configurations) {
        this->recent.pop_front();
    }
}

const json* configuration_history::find(revision_number revision) const
{
    const auto found =
        std::ranges::find(this->recent, revision, &std::pair<revision_number, json>::first);
    return found == this->recent.end() ? nullptr : &found->second;
}

std::string configuration_history::update_from(revision_number follower_revision) const
{
    if (this->recent.empty() || follower_revision >= this->recent.back().first) {
        return {};
    }
    const json* base = this->find(follower_revision);
    const revision_number from = base == nullptr ? 0 : follower_revision;
    const auto [entry, is_new] = this->updates.try_emplace(from);
    if (is_new) {
        const json& newest = this->recent.back().second;
        const json update = base == nullptr ? json{{"whole", newest}}
                                            : json{{"base", follower_revision},
                                                   {"patch", json::diff(*base, newest)}};
        json::to_cbor(update, entry->second);
    }
    return entry->second;
}

std::optional<routing_table> configuration_history::apply(const std::string& update,
                                                          const std::string& source)
{
    try {
        const json decoded = json::from_cbor(update);
        json document;
        if (decoded.contains("whole")) {
            document = decoded.at("whole");
        }
        else {
            const json* base = this->find(decoded.at("base").get<revision_number>());
            if (base == nullptr) {
                return fail("apply configuration patch", source,
                            "the base revision of the patch is not in the history");
            }
            document = base->patch(decoded.at("patch"));
        }
        auto table = routing_table::from_json(document, source);
        const bool is_newer =
            table && (this->recent.empty() || table->revision() > this->recent.back().first);
        if (is_newer) {
            this->add(table->revision(), std::move(document));
        }
        return table;
    }
    catch (const json::exception& error) {
        return fail("apply configuration patch", source, error.what());
    }
}

} // namespace dragonflyroad
