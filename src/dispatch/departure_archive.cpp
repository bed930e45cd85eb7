#include "dispatch/departure_archive.hpp"

#include <algorithm>

namespace dragonflyroad {

void departure_archive::learn(const node_id& node, const departed_lifetimes& departures)
{
    if (!departures.is_empty()) {
        this->records[node].known.add_all(departures);
    }
}

void departure_archive::record_stored(const node_id& node, const departed_lifetimes& stored,
                                      store_revision revision)
{
    this->record_stored(node, stored);
    this->records[node].revision = revision;
}

void departure_archive::record_stored(const node_id& node, const departed_lifetimes& stored)
{
    record& entry = this->records[node];
    entry.known.add_all(stored);
    entry.stored = stored;
    entry.revision.reset();
}

void departure_archive::begin_era()
{
    for (auto& [node, entry] : this->records) {
        entry.stored = {};
        entry.revision = 0;
    }
}

const departed_lifetimes& departure_archive::known(const node_id& node) const
{
    static const departed_lifetimes none;
    const auto found = this->records.find(node);
    return found == this->records.end() ? none : found->second.known;
}

bool departure_archive::is_stored(const node_id& node, const std::string& id,
                                  std::int64_t started_at) const
{
    const auto found = this->records.find(node);
    return found != this->records.end() && found->second.stored.contains(id, started_at);
}

bool departure_archive::lacks(const node_id& node) const
{
    const auto found = this->records.find(node);
    return found != this->records.end() && !found->second.stored.contains_all(found->second.known);
}

std::vector<node_id> departure_archive::lacking() const
{
    std::vector<node_id> nodes;
    for (const auto& [node, entry] : this->records) {
        if (!entry.stored.contains_all(entry.known)) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

std::optional<store_revision> departure_archive::revision(const node_id& node) const
{
    const auto found = this->records.find(node);
    return found == this->records.end() ? 0 : found->second.revision;
}

} // namespace dragonflyroad
