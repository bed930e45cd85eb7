#include "config/change.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace dragonflyroad {

std::string chunk_key(std::uint64_t number)
{
    return fmt::format("config/chunk/{}", number);
}

const change* find_latest_change(const std::vector<change>& changes, object_kind kind,
                                 const std::string& name)
{
    const auto found = std::find_if(changes.rbegin(), changes.rend(), [&](const change& entry) {
        return entry.kind == kind && entry.name == name;
    });
    return found == changes.rend() ? nullptr : &*found;
}

const change* find_change_by_id(const std::vector<change>& changes, const std::string& id)
{
    const auto found = std::find_if(changes.begin(), changes.end(),
                                    [&](const change& entry) { return entry.id == id; });
    return found == changes.end() ? nullptr : &*found;
}

std::variant<head_record, change_conflict> plan_change(const head_record& head, change proposed,
                                                       revision_number chunk_revision)
{
    const change* latest = find_latest_change(head.changes, proposed.kind, proposed.name);
    const revision_number found = latest == nullptr ? chunk_revision : latest->revision;
    if (found != proposed.based_on) {
        return change_conflict{found};
    }
    head_record next = head;
    next.revision = head.revision + 1;
    proposed.revision = next.revision;
    next.changes.push_back(std::move(proposed));
    return next;
}

} // namespace dragonflyroad
