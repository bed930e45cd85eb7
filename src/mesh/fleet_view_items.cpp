#include "mesh/fleet_view.hpp"

#include "adapters/log.hpp"
#include "core/failure.hpp"

#include <charconv>
#include <utility>

namespace dragonflyroad {
namespace {

/// The era in the mark; 0, which counts as no mark, when another writer has left something else.
store_era era_in(const std::string& value)
{
    store_era era = 0;
    const auto [end, fault] = std::from_chars(value.data(), value.data() + value.size(), era);
    return fault == std::errc{} && end == value.data() + value.size() ? era : 0;
}

} // namespace

void fleet_view::apply(const stored_item& item)
{
    if (item.key == this->configuration_key) {
        this->apply_configuration(item);
        return;
    }
    if (!item.key.starts_with(this->keys.prefix) && !this->keys.is_evacuation(item.key)) {
        return;
    }
    const auto known = this->items.find(item.key);
    if (known != this->items.end() && item.revision <= known->second.revision) {
        return;
    }
    this->items[item.key] = item;
    this->unconfirmed_until.erase(item.key);
    this->removed_at.erase(item.key);
    if (item.is_removed) {
        this->removed_at[item.key] = boot_clock::now();
    }
    if (this->keys.is_evacuation(item.key)) {
        this->apply_evacuation(item);
    }
    else if (item.key.starts_with(this->keys.prefix + "vm/")) {
        this->apply_vm(item);
    }
    else if (item.key.starts_with(this->keys.departures(node_id{}))) {
        if (!item.is_removed) {
            this->handlers.departures_read(
                node_id{item.key.substr(this->keys.departures(node_id{}).size())}, item.value,
                {this->position.era, item.revision});
        }
    }
    else if (item.key.starts_with(this->keys.crash(""))) {
        if (!item.is_removed) {
            this->handlers.crash_reported(item.key, item.value);
        }
    }
    else if (item.key == this->keys.era()) {
        this->settlement.record_mark(era_in(item.value));
    }
    else {
        this->apply_group(item);
    }
}

void fleet_view::apply_configuration(const stored_item& item)
{
    if (item.is_removed || item.revision <= this->configuration_revision) {
        return;
    }
    this->configuration_revision = item.revision;
    auto decoded = this->handlers.decode_configuration(item.value);
    if (!decoded) {
        log_line{"configuration_rejected"}
            .add("source", "store")
            .add("store_revision", item.revision)
            .add("detail", last_failure().detail);
        this->configuration_rejection = last_failure().detail;
        return;
    }
    this->configuration_rejection.clear();
    this->settlement.record_configuration(item.revision, decoded->revision());
    if (this->table == nullptr || decoded->revision() > this->table->revision()) {
        this->history.add(*decoded);
    }
    this->adopt(std::move(*decoded), "store");
}

void fleet_view::adopt(routing_table next, const std::string& source)
{
    if (this->table != nullptr && next.revision() <= this->table->revision()) {
        return;
    }
    log_line{"configuration"}.add("revision", next.revision()).add("source", source);
    this->settlement.note_version(next.revision());
    this->table = std::make_shared<const routing_table>(std::move(next));
    this->adopted_at = boot_clock::now();
}

void fleet_view::apply_vm(const stored_item& item)
{
    const node_id node{item.key.substr(this->keys.vm(node_id{}).size())};
    if (node == this->self.node) {
        if (item.is_removed) {
            this->handlers.own_entry_lost();
        }
        return;
    }
    if (item.is_removed) {
        this->missing_since[node] = boot_clock::now();
        return;
    }
    const auto entry = node_entry::from_text(item.value, item.key);
    if (!entry || entry->node != node) {
        log_line{"node_entry_rejected"}.add("key", item.key).add("detail", last_failure().detail);
        return;
    }
    this->missing_since.erase(node);
    this->directory.put(*entry);
    this->handlers.entry_written(node);
}

void fleet_view::apply_group(const stored_item& item)
{
    for (std::size_t group = 0; group < quota_group_count; ++group) {
        if (this->keys.group(group) == item.key) {
            this->handlers.group_changed(group,
                                         item.is_removed ? std::nullopt : std::optional{item.value},
                                         {this->position.era, item.revision});
        }
    }
}

void fleet_view::apply_evacuation(const stored_item& item)
{
    const data_centre centre{item.key.substr(this->keys.evacuation_prefix.size())};
    // The request is the item itself; its value carries nothing.
    if (this->directory.set_evacuated(centre, !item.is_removed)) {
        log_line{"evacuation"}
            .add("centre", centre.value)
            .add("state", item.is_removed ? "taken_back" : "begun")
            .add("store_revision", item.revision);
        this->handlers.evacuation_changed(centre, !item.is_removed);
    }
}

} // namespace dragonflyroad
