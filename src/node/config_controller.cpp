#include "node/config_controller.hpp"

#include "adapters/log.hpp"
#include "config/change_codec.hpp"
#include "core/failure.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

/// Maximum duration of a watch. The proof that a watch brings is valid for 3 s from the sending of
/// the watch, so after a watch of 3 s the node would have no valid proof.
constexpr std::chrono::seconds watch_time{1};
constexpr std::chrono::seconds read_time{2};
/// Time limit for reading all chunks of the largest configuration.
constexpr std::chrono::seconds configuration_read_time{20};
constexpr std::chrono::milliseconds retry_pause{500};
/// How often a node that does not watch the head checks whether it has become a watcher or must
/// read the head itself.
constexpr std::chrono::milliseconds role_check_interval{100};
/// Age of the latest proof from which a node that does not watch reads the head itself, early
/// enough to renew the proof before it expires.
constexpr std::chrono::milliseconds max_relayed_proof_age{2'500};
/// While the store does not respond, a node that is not a watcher pauses for a random time after
/// each read. The upper limit of the pause doubles from the initial to the maximum value.
constexpr std::chrono::seconds initial_read_pause{1};
constexpr std::chrono::seconds max_read_pause{16};

} // namespace

config_controller::config_controller(std::shared_ptr<store> store_client, shared_node_state& target,
                                     std::uint64_t seed)
    : source(std::move(store_client)),
      shared_state(target),
      random(seed),
      read_pause_limit(initial_read_pause)
{
}

duration config_controller::follow_head()
{
    bool watches = false;
    {
        const std::scoped_lock lock{this->mutex};
        watches = this->watch_role.watches;
    }
    return watches ? this->watch() : this->read_if_proof_is_old();
}

duration config_controller::watch()
{
    const time_point sent_at = boot_clock::now();
    const auto head = this->source->watch(head_key, this->version, sent_at + watch_time);
    if (!head) {
        this->log_read_failure();
        return retry_pause;
    }
    return this->process_head(*head, sent_at);
}

duration config_controller::read_if_proof_is_old()
{
    const time_point now = boot_clock::now();
    const auto latest = this->proof();
    if (latest && now < *latest + max_relayed_proof_age) {
        this->read_pause_limit = initial_read_pause;
        return role_check_interval;
    }
    const auto head = this->source->read(head_key, now + read_time);
    if (head) {
        return std::max<duration>(this->process_head(*head, now), role_check_interval);
    }
    this->log_read_failure();
    const double part = uniform(this->random);
    const auto pause = std::chrono::duration_cast<duration>(this->read_pause_limit * part);
    this->read_pause_limit = std::min<duration>(this->read_pause_limit * 2, max_read_pause);
    return std::max<duration>(pause, role_check_interval);
}

duration config_controller::process_head(const store_value& value, time_point sent_at)
{
    if (std::exchange(this->has_read_failed, false)) {
        log_line{"config_store_answers"}.add("version", value.version);
    }
    if (value.version == this->refused_version) {
        return retry_pause;
    }
    if (value.version == this->version) {
        if (this->head_revision >= this->revision()) {
            this->record_proof(sent_at);
        }
        return duration::zero();
    }
    const auto head = decode_head(value.bytes);
    if (!head) {
        return this->reject_stored_head(value, "config_refused");
    }
    if (head->revision < this->revision()) {
        fail("read", head_key, "the store has an older revision than this node");
        return this->reject_stored_head(value, "config_older");
    }
    const adoption_result result =
        this->adopt_stored(*head, boot_clock::now() + configuration_read_time);
    if (result == adoption_result::refused) {
        return this->reject_stored_head(value, "config_refused");
    }
    if (result == adoption_result::gap) {
        this->log_read_failure();
        return retry_pause;
    }
    this->version = value.version;
    this->head_revision = head->revision;
    this->refused_version.reset();
    this->record_proof(sent_at);
    return duration::zero();
}

duration config_controller::reject_stored_head(const store_value& value, const char* event)
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

adoption_result config_controller::adopt_stored(const head_record& head, time_point deadline)
{
    {
        const std::scoped_lock lock{this->mutex};
        const adoption_result result = this->replica.adopt_head(head);
        if (result != adoption_result::gap) {
            return this->publish(result, {});
        }
    }
    const auto stored = read_configuration(*this->source, deadline);
    if (!stored) {
        return last_failure().step == "decode" ? adoption_result::refused : adoption_result::gap;
    }
    auto config = stored->build();
    if (!config) {
        return adoption_result::refused;
    }
    const std::scoped_lock lock{this->mutex};
    return this->publish(this->replica.adopt_snapshot(std::move(*config)), {});
}

adoption_result config_controller::adopt(const std::vector<change>& changes,
                                         const std::string& peer)
{
    const std::scoped_lock lock{this->mutex};
    return this->publish(this->replica.adopt_changes(changes), peer);
}

adoption_result config_controller::adopt(configuration snapshot, const std::string& peer)
{
    const std::scoped_lock lock{this->mutex};
    return this->publish(this->replica.adopt_snapshot(std::move(snapshot)), peer);
}

adoption_result config_controller::publish(adoption_result result, const std::string& peer)
{
    if (result != adoption_result::adopted) {
        return result;
    }
    const auto current = this->replica.current();
    log_line line{"config_adopted"};
    line.add("revision", current->revision);
    if (!peer.empty()) {
        line.add("peer", peer);
    }
    this->shared_state.config.publish(*current);
    if (this->awaited_proof && current->revision >= this->awaited_revision) {
        this->proofs.record_proof(*this->awaited_proof);
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

void config_controller::log_read_failure()
{
    if (!std::exchange(this->has_read_failed, true)) {
        log_line{"config_unread"}.add("detail", last_failure().detail);
    }
}

void config_controller::record_proof(time_point as_of)
{
    const std::scoped_lock lock{this->mutex};
    this->proofs.record_proof(as_of);
}

void config_controller::record_relayed_proof(revision_number revision, time_point as_of)
{
    const std::scoped_lock lock{this->mutex};
    if (revision <= this->replica.revision()) {
        this->proofs.record_proof(as_of);
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

configuration_freshness config_controller::state(time_point now)
{
    const std::scoped_lock lock{this->mutex};
    switch (
        this->proofs.state(now, this->watch_role.known_nodes, this->watch_role.reachable_nodes)) {
    case freshness_state::current:
        return configuration_freshness::current;
    case freshness_state::fleet_only:
        return configuration_freshness::fleet_only;
    case freshness_state::isolated:
        break;
    }
    return configuration_freshness::isolated;
}

void config_controller::set_watch_role(const config_watch_role& value)
{
    const std::scoped_lock lock{this->mutex};
    this->watch_role = value;
}

revision_number config_controller::revision() const
{
    return this->shared_state.config.read()->revision;
}

config_counts config_controller::counts() const
{
    const std::scoped_lock lock{this->mutex};
    return {this->replica.counts().refused + this->refused_heads, this->old_heads};
}

void config_controller::add_metrics(metrics& target)
{
    target.add_metric_callback("config_refused_total", "counter",
                               [this] { return static_cast<double>(this->counts().refused); });
    target.add_metric_callback("config_older_total", "counter",
                               [this] { return static_cast<double>(this->counts().older); });
}

bool config_controller::wait_for_revision(revision_number revision, time_point deadline)
{
    std::unique_lock lock{this->mutex};
    return this->published.wait_for(lock, deadline - boot_clock::now(), [&] {
        return this->shared_state.config.read()->revision >= revision;
    });
}

} // namespace dragonflyroad
