#include "node/config_controller.hpp"

#include "adapters/log.hpp"
#include "config/change_codec.hpp"
#include "core/failure.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

/// A proof counts from the sending of the watch, so a watch that lasted as long as a proof counts
/// (3 s) would leave the node without one.
constexpr std::chrono::seconds watch_time{1};
constexpr std::chrono::seconds read_time{2};
/// Reading all chunks of the largest configuration.
constexpr std::chrono::seconds configuration_read_time{20};
constexpr std::chrono::milliseconds retry_pause{500};
/// How often a node that does not watch looks whether it has to.
constexpr std::chrono::milliseconds duty_pause{100};
/// A node whose proof is older reads the head itself, in time before the proof ends.
constexpr std::chrono::milliseconds latest_relayed_proof{2'500};
/// While the store is down, the reads of the nodes that do not watch become rarer up to this.
constexpr std::chrono::seconds least_read_pause{1};
constexpr std::chrono::seconds most_read_pause{16};

} // namespace

config_controller::config_controller(std::shared_ptr<store> store_client, blackboard& target,
                                     std::uint64_t seed)
    : source(std::move(store_client)),
      board(target),
      random(seed),
      longest_read_pause(least_read_pause)
{
}

duration config_controller::follow()
{
    bool watches = false;
    {
        const std::scoped_lock lock{this->mutex};
        watches = this->duty.watches;
    }
    return watches ? this->watch() : this->read_if_unproved();
}

duration config_controller::watch()
{
    const time_point asked_at = boot_clock::now();
    const auto head = this->source->watch(head_key, this->version, asked_at + watch_time);
    if (!head) {
        this->note_unread();
        return retry_pause;
    }
    return this->take(*head, asked_at);
}

duration config_controller::read_if_unproved()
{
    const time_point now = boot_clock::now();
    const auto latest = this->proof();
    if (latest && now < *latest + latest_relayed_proof) {
        this->longest_read_pause = least_read_pause;
        return duty_pause;
    }
    const auto head = this->source->read(head_key, now + read_time);
    if (head) {
        return std::max<duration>(this->take(*head, now), duty_pause);
    }
    this->note_unread();
    const double part = uniform(this->random);
    const auto pause = std::chrono::duration_cast<duration>(this->longest_read_pause * part);
    this->longest_read_pause = std::min<duration>(this->longest_read_pause * 2, most_read_pause);
    return std::max<duration>(pause, duty_pause);
}

duration config_controller::take(const store_value& value, time_point asked_at)
{
    if (std::exchange(this->is_unread, false)) {
        log_line{"config_store_answers"}.add("version", value.version);
    }
    if (value.version == this->refused_version) {
        return retry_pause;
    }
    if (value.version == this->version) {
        if (this->head_revision >= this->revision()) {
            this->note_proof(asked_at);
        }
        return duration::zero();
    }
    const auto head = decode_head(value.bytes);
    if (!head) {
        return this->refuse(value, "config_refused");
    }
    if (head->revision < this->revision()) {
        fail("read", head_key, "the store has an older revision than this node");
        return this->refuse(value, "config_older");
    }
    const adoption result = this->adopt_stored(*head, boot_clock::now() + configuration_read_time);
    if (result == adoption::refused) {
        return this->refuse(value, "config_refused");
    }
    if (result == adoption::gap) {
        this->note_unread();
        return retry_pause;
    }
    this->version = value.version;
    this->head_revision = head->revision;
    this->refused_version.reset();
    this->note_proof(asked_at);
    return duration::zero();
}

duration config_controller::refuse(const store_value& value, const char* event)
{
    log_line{event}
        .add("key", head_key)
        .add("version", value.version)
        .add("detail", last_failure().detail);
    this->version = value.version;
    this->refused_version = value.version;
    const std::scoped_lock lock{this->mutex};
    ++(std::string_view{event} == "config_older" ? this->old_heads : this->refused_heads);
    return retry_pause;
}

adoption config_controller::adopt_stored(const head_record& head, time_point deadline)
{
    {
        const std::scoped_lock lock{this->mutex};
        const adoption result = this->replica.adopt_head(head);
        if (result != adoption::gap) {
            return this->publish(result, {});
        }
    }
    const auto stored = read_configuration(*this->source, deadline);
    if (!stored) {
        return last_failure().step == "decode" ? adoption::refused : adoption::gap;
    }
    auto config = stored->build();
    if (!config) {
        return adoption::refused;
    }
    const std::scoped_lock lock{this->mutex};
    return this->publish(this->replica.adopt_snapshot(std::move(*config)), {});
}

adoption config_controller::adopt(const std::vector<change>& changes, const std::string& peer)
{
    const std::scoped_lock lock{this->mutex};
    return this->publish(this->replica.adopt(changes), peer);
}

adoption config_controller::adopt(configuration snapshot, const std::string& peer)
{
    const std::scoped_lock lock{this->mutex};
    return this->publish(this->replica.adopt_snapshot(std::move(snapshot)), peer);
}

adoption config_controller::publish(adoption result, const std::string& peer)
{
    if (result != adoption::adopted) {
        return result;
    }
    const auto current = this->replica.current();
    log_line line{"config_adopted"};
    line.add("revision", current->revision);
    if (!peer.empty()) {
        line.add("peer", peer);
    }
    this->board.config.publish(*current);
    if (this->awaited_proof && current->revision >= this->awaited_revision) {
        this->proofs.note_proof(*this->awaited_proof);
        this->awaited_proof.reset();
    }
    this->published.notify_all();
    return result;
}

std::optional<std::vector<change>> config_controller::changes_since(revision_number after) const
{
    const std::scoped_lock lock{this->mutex};
    return this->replica.changes_since(after);
}

void config_controller::note_unread()
{
    if (!std::exchange(this->is_unread, true)) {
        log_line{"config_unread"}.add("detail", last_failure().detail);
    }
}

void config_controller::note_proof(time_point as_of)
{
    const std::scoped_lock lock{this->mutex};
    this->proofs.note_proof(as_of);
}

void config_controller::note_relayed_proof(revision_number revision, time_point as_of)
{
    const std::scoped_lock lock{this->mutex};
    if (revision <= this->replica.revision()) {
        this->proofs.note_proof(as_of);
        return;
    }
    if (revision >= this->awaited_revision) {
        this->awaited_revision = revision;
        this->awaited_proof = as_of;
    }
}

std::optional<time_point> config_controller::proof() const
{
    const std::scoped_lock lock{this->mutex};
    return this->proofs.latest_proof();
}

proof_state config_controller::state(time_point now)
{
    const std::scoped_lock lock{this->mutex};
    switch (this->proofs.state(now, this->duty.known_nodes, this->duty.heard_nodes)) {
    case freshness_state::current:
        return proof_state::current;
    case freshness_state::fleet_only:
        return proof_state::fleet_only;
    case freshness_state::isolated:
        break;
    }
    return proof_state::isolated;
}

void config_controller::set_duty(const config_duty& value)
{
    const std::scoped_lock lock{this->mutex};
    this->duty = value;
}

revision_number config_controller::revision() const
{
    return this->board.config.read()->revision;
}

config_counts config_controller::counts() const
{
    const std::scoped_lock lock{this->mutex};
    return {this->replica.counts().refused + this->refused_heads, this->old_heads};
}

void config_controller::add_metrics(metrics& target)
{
    target.add_source("config_refused_total", "counter",
                      [this] { return static_cast<double>(this->counts().refused); });
    target.add_source("config_older_total", "counter",
                      [this] { return static_cast<double>(this->counts().older); });
}

bool config_controller::wait_for_revision(revision_number revision, time_point deadline)
{
    std::unique_lock lock{this->mutex};
    return this->published.wait_for(lock, deadline - boot_clock::now(), [&] {
        return this->board.config.read()->revision >= revision;
    });
}

} // namespace dragonflyroad
