#include "mesh/fleet_view.hpp"

#include "adapters/log.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace dragonflyroad {
namespace {

using milliseconds = std::chrono::milliseconds;

/// How long an entry that the store has lost with an era keeps its node in use: as long as the
/// entry's lease could have lasted. A node that the store turns away can't write its entry again.
constexpr milliseconds unconfirmed_entry_time{15'000};

/// The same for items of the operators, who write them again. See era_settlement.
constexpr milliseconds unconfirmed_item_time{10'000};

} // namespace

bool fleet_view::is_era_settled() const
{
    const store_era newest = this->store.era();
    return newest == 0 || (this->position.era == newest && this->settlement.is_marked());
}

void fleet_view::note_follower(const node_id& from, const follow_message& request)
{
    this->store.learn_era(request.era, from.value);
    this->settlement.note_version(request.configuration);
}

void fleet_view::begin_era(const store_position& first, const std::string& source)
{
    if (this->has_read_store()) {
        log_line{"store_era_adopted"}
            .add("old", this->position.era)
            .add("new", first.era)
            .add("old_revision", this->position.revision)
            .add("new_revision", first.revision)
            .add("source", source);
    }
    this->settlement.begin(first, boot_clock::now());
    if (first.era > this->position.era) {
        // Revisions are given out again, so those of the ended era tell nothing about newer items.
        std::erase_if(this->items, [](const auto& item) { return item.second.is_removed; });
        for (auto& [key, item] : this->items) {
            item.revision = 0;
        }
        this->removed_at.clear();
        this->configuration_revision = 0;
        // Followers that have read the new era earlier may know items that this node doesn't.
        this->removal_horizon = this->has_read_store() ? first.revision : 0;
    }
    this->position = first;
}

void fleet_view::apply_whole(const std::vector<stored_item>& all, const store_position& at)
{
    std::set<std::string> present;
    for (const stored_item& item : all) {
        present.insert(item.key);
        this->apply(item);
    }
    for (const auto& [key, known] : std::map{this->items}) {
        if (present.contains(key) || known.is_removed || known.revision > at.revision) {
            continue;
        }
        const bool is_of_ended_era = known.revision == 0;
        const bool is_quota_group = key.starts_with(this->keys.prefix + "quota/");
        if (is_of_ended_era && !is_quota_group) {
            this->keep_unconfirmed(key);
        }
        else {
            this->apply({key, "", at.revision, true});
        }
    }
    this->position.revision = std::max(this->position.revision, at.revision);
}

void fleet_view::keep_unconfirmed(const std::string& key)
{
    const bool is_entry = key.starts_with(this->keys.vm(node_id{}));
    const milliseconds time = is_entry ? unconfirmed_entry_time : unconfirmed_item_time;
    const bool is_new = this->unconfirmed_until.try_emplace(key, boot_clock::now() + time).second;
    if (is_new && key.starts_with(this->keys.crash(""))) {
        this->handlers.crash_report_lost(key, this->items[key].value);
    }
}

void fleet_view::drop_unconfirmed()
{
    const time_point now = boot_clock::now();
    for (const auto& [key, until] : std::map{this->unconfirmed_until}) {
        if (now >= until) {
            log_line{"store_item_lost"}.add("key", key).add("era", this->position.era);
            this->apply({key, "", std::max<store_revision>(this->position.revision, 1), true});
            this->unconfirmed_until.erase(key);
        }
    }
}

void fleet_view::write_era_mark()
{
    if (this->is_behind_era() || std::exchange(this->is_writing_mark, true)) {
        return;
    }
    commit_request request;
    request.writes.push_back({this->keys.era(), std::to_string(this->position.era), 0});
    this->store.commit(request, [this](commit_outcome) { this->is_writing_mark = false; });
}

} // namespace dragonflyroad
