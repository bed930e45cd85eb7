#include "config/replica.hpp"

#include "config/codec.hpp"
#include "core/failure.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace dragonflyroad {
namespace {

constexpr std::size_t max_recent_changes = 200;

bool are_consecutive(const std::vector<change>& changes)
{
    const auto gap = std::adjacent_find(changes.begin(), changes.end(),
                                        [](const change& earlier, const change& later) {
                                            return later.revision != earlier.revision + 1;
                                        });
    return gap == changes.end();
}

} // namespace

bool apply_change(configuration& config, const change& value)
{
    if (value.operation == change_operation::withdraw) {
        withdraw_object(config, value.kind, value.name);
    }
    else {
        const std::optional<object> body = decode_object_text(value.kind, value.body);
        if (!body) {
            return false;
        }
        if (name_of(*body) != value.name) {
            fail("apply", fmt::format("{} {}", to_text(value.kind), value.name),
                 fmt::format("the body names the object {}", name_of(*body)));
            return false;
        }
        put_object(config, *body);
    }
    config.revision = std::max(config.revision, value.revision);
    return true;
}

bool apply_chunk(configuration& config, const chunk_record& chunk)
{
    const bool applied =
        std::all_of(chunk.entries.begin(), chunk.entries.end(),
                    [&config](const change& entry) { return apply_change(config, entry); });
    config.revision = std::max(config.revision, chunk.through);
    return applied;
}

adoption_result config_replica::adopt_changes(const std::vector<change>& changes)
{
    if (!are_consecutive(changes)) {
        fail("adopt", "changes", "the revisions are not consecutive");
        return this->count_result(adoption_result::refused);
    }
    const revision_number own_revision = this->revision();
    if (changes.empty() || changes.back().revision <= own_revision) {
        return this->count_result(adoption_result::ignored);
    }
    if (changes.front().revision > own_revision + 1) {
        return this->count_result(adoption_result::gap);
    }
    configuration next = *this->current();
    const auto known_count =
        static_cast<std::ptrdiff_t>(own_revision + 1 - changes.front().revision);
    for (auto entry = changes.begin() + known_count; entry != changes.end(); ++entry) {
        if (!apply_change(next, *entry)) {
            return this->count_result(adoption_result::refused);
        }
    }
    this->published.publish(std::move(next));
    this->recent_changes.insert(this->recent_changes.end(), changes.begin() + known_count,
                                changes.end());
    while (this->recent_changes.size() > max_recent_changes) {
        this->recent_changes.pop_front();
    }
    return adoption_result::adopted;
}

adoption_result config_replica::adopt_head(const head_record& head)
{
    if (head.revision <= this->revision()) {
        return this->count_result(adoption_result::ignored);
    }
    if (head.changes.empty() || head.compacted_revision() > this->revision()) {
        return this->count_result(adoption_result::gap);
    }
    return this->adopt_changes(head.changes);
}

adoption_result config_replica::adopt_snapshot(configuration snapshot)
{
    if (snapshot.revision <= this->revision()) {
        return this->count_result(adoption_result::ignored);
    }
    this->recent_changes.clear();
    this->published.publish(std::move(snapshot));
    return adoption_result::adopted;
}

revision_number config_replica::revision() const
{
    return this->current()->revision;
}

std::shared_ptr<const configuration> config_replica::current() const
{
    return this->published.read();
}

const adoption_counts& config_replica::counts() const
{
    return this->not_adopted;
}

std::optional<std::vector<change>> config_replica::changes_since(revision_number after) const
{
    if (after >= this->revision()) {
        return std::vector<change>{};
    }
    if (this->recent_changes.empty() || this->recent_changes.front().revision > after + 1) {
        return std::nullopt;
    }
    const auto known_count =
        static_cast<std::ptrdiff_t>(after + 1 - this->recent_changes.front().revision);
    return std::vector<change>(this->recent_changes.begin() + known_count,
                               this->recent_changes.end());
}

adoption_result config_replica::count_result(adoption_result result)
{
    switch (result) {
    case adoption_result::ignored:
        ++this->not_adopted.ignored;
        break;
    case adoption_result::gap:
        ++this->not_adopted.gaps;
        break;
    case adoption_result::refused:
        ++this->not_adopted.refused;
        break;
    case adoption_result::adopted:
        break;
    }
    return result;
}

} // namespace dragonflyroad
