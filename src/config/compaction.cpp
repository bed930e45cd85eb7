#include "config/compaction.hpp"

#include "config/change_codec.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace dragonflyroad {
namespace {

/// The number of oldest changes to move: all but `kept_changes`, and more if the remaining ones
/// would exceed half of the head's maximum size.
std::size_t count_to_compact(const head_record& head, const compaction_limits& limits)
{
    const std::size_t size = head.changes.size();
    std::size_t count = size > limits.kept_changes ? size - limits.kept_changes : 0;
    std::size_t bytes = 0;
    for (std::size_t kept = 0; kept < size; ++kept) {
        bytes += max_encoded_size(head.changes[size - 1 - kept]);
        if (bytes > limits.max_encoded_head_bytes / 2) {
            return std::max(count, size - kept);
        }
    }
    return count;
}

std::vector<change> merge_changes(const std::vector<change>& older,
                                  const std::vector<change>& newer, bool keep_withdrawals)
{
    std::map<std::pair<object_kind, std::string>, change> latest;
    for (const std::vector<change>* entries : {&older, &newer}) {
        for (const change& entry : *entries) {
            latest[{entry.kind, entry.name}] = entry;
        }
    }
    std::vector<change> merged;
    for (auto& [object, entry] : latest) {
        if (keep_withdrawals || entry.operation == change_operation::put) {
            merged.push_back(std::move(entry));
        }
    }
    return merged;
}

std::size_t total_encoded_size(const std::vector<change>& entries)
{
    std::size_t bytes = 0;
    for (const change& entry : entries) {
        bytes += max_encoded_size(entry);
    }
    return bytes;
}

/// Removes a free chunk from the head and returns it, or returns a new chunk number if none is
/// free.
free_chunk allocate_chunk(head_record& head, std::uint64_t min_new_number)
{
    if (!head.free_chunks.empty()) {
        const free_chunk taken = head.free_chunks.front();
        head.free_chunks.erase(head.free_chunks.begin());
        return taken;
    }
    std::uint64_t number = min_new_number;
    for (const chunk_reference& used : head.chunks) {
        number = std::max(number, used.number + 1);
    }
    return {number, 0};
}

} // namespace

bool needs_compaction(const head_record& head, const compaction_limits& limits)
{
    return head.changes.size() > limits.max_head_changes ||
           total_encoded_size(head.changes) > limits.max_encoded_head_bytes;
}

std::optional<compaction_plan> plan_compaction(const head_record& head,
                                               const chunk_record* last_chunk,
                                               const compaction_limits& limits,
                                               std::uint64_t min_new_number)
{
    if (!needs_compaction(head, limits)) {
        return std::nullopt;
    }
    const auto count = static_cast<std::ptrdiff_t>(count_to_compact(head, limits));
    const auto end = head.changes.begin() + count;
    const std::vector<change> oldest(head.changes.begin(), end);
    compaction_plan plan{head, {}, 0, 0};
    const free_chunk target = allocate_chunk(plan.head, min_new_number);
    plan.chunk_number = target.number;
    plan.expected_version = target.version;
    plan.chunk.through = head.compacted_revision() + static_cast<revision_number>(count);
    // A withdrawal has to be kept while an earlier chunk may hold the object.
    const bool is_first = head.chunks.size() <= 1;
    if (last_chunk != nullptr) {
        plan.chunk.entries = merge_changes(last_chunk->entries, oldest, !is_first);
    }
    if (last_chunk != nullptr && total_encoded_size(plan.chunk.entries) <= limits.max_chunk_bytes) {
        const chunk_reference& replaced = plan.head.chunks.back();
        plan.head.free_chunks.push_back({replaced.number, replaced.version});
        plan.head.chunks.pop_back();
    }
    else {
        plan.chunk.entries = merge_changes({}, oldest, !head.chunks.empty());
    }
    plan.head.chunks.push_back({plan.chunk_number, plan.chunk.through, 0});
    plan.head.changes.erase(plan.head.changes.begin(), plan.head.changes.begin() + count);
    return plan;
}

} // namespace dragonflyroad
