#include "config/fold.hpp"

#include "config/change_codec.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace dragonflyroad {
namespace {

/// The number of oldest changes to fold: down to the least number to keep, and further while the
/// head would stay above half of its largest size.
std::size_t count_to_fold(const head_record& head, const fold_limits& limits)
{
    const std::size_t size = head.changes.size();
    std::size_t count = size > limits.least_changes ? size - limits.least_changes : 0;
    std::size_t bytes = 0;
    for (std::size_t kept = 0; kept < size; ++kept) {
        bytes += encoded_size(head.changes[size - 1 - kept]);
        if (bytes > limits.most_head_bytes / 2) {
            return std::max(count, size - kept);
        }
    }
    return count;
}

std::vector<change> latest_of_each(const std::vector<change>& older,
                                   const std::vector<change>& newer, bool keep_withdrawn)
{
    std::map<std::pair<object_kind, std::string>, change> latest;
    for (const std::vector<change>* entries : {&older, &newer}) {
        for (const change& entry : *entries) {
            latest[{entry.kind, entry.name}] = entry;
        }
    }
    std::vector<change> merged;
    for (auto& [object, entry] : latest) {
        if (keep_withdrawn || entry.operation == change_operation::put) {
            merged.push_back(std::move(entry));
        }
    }
    return merged;
}

std::size_t size_of(const std::vector<change>& entries)
{
    std::size_t bytes = 0;
    for (const change& entry : entries) {
        bytes += encoded_size(entry);
    }
    return bytes;
}

/// Takes a free number, or the next one that was never used.
free_chunk take_number(head_record& head, std::uint64_t least_new_number)
{
    if (!head.free_chunks.empty()) {
        const free_chunk taken = head.free_chunks.front();
        head.free_chunks.erase(head.free_chunks.begin());
        return taken;
    }
    std::uint64_t number = least_new_number;
    for (const chunk_reference& used : head.chunks) {
        number = std::max(number, used.number + 1);
    }
    return {number, 0};
}

} // namespace

bool needs_fold(const head_record& head, const fold_limits& limits)
{
    return head.changes.size() > limits.most_changes ||
           size_of(head.changes) > limits.most_head_bytes;
}

std::optional<fold_plan> plan_fold(const head_record& head, const chunk_record* last_chunk,
                                   const fold_limits& limits, std::uint64_t least_new_number)
{
    if (!needs_fold(head, limits)) {
        return std::nullopt;
    }
    const auto count = static_cast<std::ptrdiff_t>(count_to_fold(head, limits));
    const auto end = head.changes.begin() + count;
    const std::vector<change> oldest(head.changes.begin(), end);
    fold_plan plan{head, {}, 0, 0};
    const free_chunk target = take_number(plan.head, least_new_number);
    plan.chunk_number = target.number;
    plan.expected_version = target.version;
    plan.chunk.through = head.folded_revision() + static_cast<revision_number>(count);
    // A withdrawal has to be kept while an earlier chunk may hold the object.
    const bool is_first = head.chunks.size() <= 1;
    if (last_chunk != nullptr) {
        plan.chunk.entries = latest_of_each(last_chunk->entries, oldest, !is_first);
    }
    if (last_chunk != nullptr && size_of(plan.chunk.entries) <= limits.most_chunk_bytes) {
        const chunk_reference& replaced = plan.head.chunks.back();
        plan.head.free_chunks.push_back({replaced.number, replaced.version});
        plan.head.chunks.pop_back();
    }
    else {
        plan.chunk.entries = latest_of_each({}, oldest, !head.chunks.empty());
    }
    plan.head.chunks.push_back({plan.chunk_number, plan.chunk.through, 0});
    plan.head.changes.erase(plan.head.changes.begin(), plan.head.changes.begin() + count);
    return plan;
}

} // namespace dragonflyroad
