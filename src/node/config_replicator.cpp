#include "node/config_replicator.hpp"

#include "adapters/log.hpp"
#include "config/change_codec.hpp"
#include "core/digest.hpp"
#include "core/failure.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

using nlohmann::json;

constexpr std::size_t watchers_per_centre = 2;
constexpr std::chrono::milliseconds idle_pause{100};
/// Interval at which a node without a configuration tries the seeds and peers in turn.
constexpr std::chrono::milliseconds bootstrap_interval{200};
constexpr std::chrono::seconds call_timeout{2};
constexpr std::size_t part_bytes = 256U << 10U;
/// A snapshot of a million organisations and a million keys has a few hundred parts.
constexpr std::size_t max_parts = 4'096;
constexpr std::chrono::seconds served_lifetime{10};
/// Larger replies are truncated; the caller requests the rest.
constexpr std::size_t max_changes_bytes = 1U << 20U;

bool is_live(const known_peer& peer)
{
    return peer.state != peer_state::lost && peer.state != peer_state::left &&
           !peer.descriptor.leaving;
}

std::uint64_t watch_score(const node_id& node)
{
    return stable_hash("config/head " + node.value);
}

/// Reads a non-negative integer. The JSON-RPC library turns unsigned integers into signed ones, so
/// the type cannot be checked for unsigned.
std::optional<std::uint64_t> read_unsigned(const json& params, const char* name)
{
    if (!params.is_object() || !params.contains(name) || !params.at(name).is_number_integer() ||
        params.at(name).get<std::int64_t>() < 0) {
        return std::nullopt;
    }
    return params.at(name).get<std::uint64_t>();
}

/// Decodes changes from a string of JSON. They are not sent as JSON values because the JSON-RPC
/// library would turn their unsigned numbers into signed ones, which the decoder rejects.
std::optional<std::vector<change>> read_changes(const json& text)
{
    if (!text.is_string()) {
        return fail("decode", "changes", "changes must be a string of JSON");
    }
    return decode_changes(json::parse(text.get_ref<const std::string&>(), nullptr, false));
}

std::optional<snapshot_part> read_part(const json& response)
{
    const auto revision = read_unsigned(response, "revision");
    const auto index = read_unsigned(response, "index");
    if (!revision || !index || !response.contains("last") || !response.at("last").is_boolean() ||
        !response.contains("text") || !response.at("text").is_string()) {
        return fail("decode", "snapshot",
                    "a snapshot part must have revision, index, last and text");
    }
    return snapshot_part{*revision, *index, response.at("last").get<bool>(),
                         response.at("text").get<std::string>()};
}

} // namespace

config_replicator::config_replicator(dependencies given)
    : deps(std::move(given)), client(deps.self, deps.secret), fetch_addresses(deps.seeds)
{
}

void config_replicator::add_methods(rpc_server& server)
{
    server.add_method("changes_since", [this](const json& params, const node_id&) {
        return this->on_changes_since(params);
    });
    server.add_method("snapshot", [this](const json& params, const node_id&) {
        return this->on_snapshot(params);
    });
}

void config_replicator::start()
{
    this->task = std::make_unique<periodic_task>([this] { return this->run(); });
}

void config_replicator::stop()
{
    this->stopping = true;
    if (this->task != nullptr) {
        this->task->stop();
    }
}

void config_replicator::handle_membership_update(const membership_update& update)
{
    if (update.from.empty()) {
        return;
    }
    if (update.evidence && update.evidence->store_proof) {
        this->deps.config.record_relayed_proof(update.revision, *update.evidence->store_proof);
    }
    const std::scoped_lock lock{this->mutex};
    this->revisions[update.from] = update.revision;
    if (update.revision > this->deps.config.revision() && update.revision >= this->newer_revision &&
        !update.rpc_address.empty()) {
        this->newer_revision = update.revision;
        this->newer_address = update.rpc_address;
        if (this->task != nullptr) {
            this->task->wake();
        }
    }
}

std::optional<revision_number> config_replicator::revision_of(const node_id& peer) const
{
    const std::scoped_lock lock{this->mutex};
    const auto found = this->revisions.find(peer);
    return found == this->revisions.end() ? std::nullopt : std::optional{found->second};
}

duration config_replicator::run()
{
    const time_point now = boot_clock::now();
    this->update_watch_role(now);
    this->release_snapshot(now);
    if (const auto address = this->choose_fetch_address(now)) {
        this->fetch(*address);
    }
    return idle_pause;
}

void config_replicator::release_snapshot(time_point now)
{
    const std::scoped_lock lock{this->served_mutex};
    if (now >= this->snapshot_reuse_until + served_lifetime) {
        this->served_snapshot.reset();
    }
}

void config_replicator::update_watch_role(time_point now)
{
    const std::vector<known_peer> peers = this->deps.members.known_peers();
    const fleet_reachability reachability = this->deps.members.measure_reachability(now);
    const std::uint64_t score = watch_score(this->deps.self);
    std::size_t higher_ranked = 0;
    std::vector<std::string> addresses = this->deps.seeds;
    std::map<node_id, revision_number> kept;
    const std::scoped_lock lock{this->mutex};
    for (const known_peer& peer : peers) {
        if (const auto found = this->revisions.find(peer.descriptor.node);
            found != this->revisions.end()) {
            kept.insert(*found);
        }
        if (!is_live(peer)) {
            continue;
        }
        addresses.push_back(peer.descriptor.rpc_address);
        const bool precedes =
            std::pair{watch_score(peer.descriptor.node), peer.descriptor.node.value} >
            std::pair{score, this->deps.self.value};
        higher_ranked += peer.descriptor.centre == this->deps.centre && precedes ? 1U : 0U;
    }
    std::erase(addresses, this->deps.peer_address);
    this->fetch_addresses = std::move(addresses);
    this->revisions = std::move(kept);
    this->deps.config.set_watch_role({higher_ranked < watchers_per_centre, reachability.known + 1,
                                      reachability.reachable_peers + 1});
}

std::optional<std::string> config_replicator::choose_fetch_address(time_point now)
{
    const std::scoped_lock lock{this->mutex};
    const revision_number newest_revision = std::exchange(this->newer_revision, 0);
    std::string address = std::exchange(this->newer_address, {});
    if (newest_revision > this->deps.config.revision()) {
        return address;
    }
    if (this->deps.config.revision() > 0 || this->fetch_addresses.empty() ||
        now < this->next_bootstrap) {
        return std::nullopt;
    }
    this->next_bootstrap = now + bootstrap_interval;
    return this->fetch_addresses[this->next_fetch_index++ % this->fetch_addresses.size()];
}

void config_replicator::fetch(const std::string& address)
{
    const revision_number after = this->deps.config.revision();
    if (after == 0) {
        this->fetch_snapshot(address);
        return;
    }
    const auto response =
        this->client.call(address, "changes_since", json::object({{"after", after}}),
                          boot_clock::now() + call_timeout);
    if (!response || !response->is_object() || !response->contains("changes")) {
        log_line{"config_unfetched"}.add("peer", address).add("detail", last_failure().detail);
        return;
    }
    if (response->at("changes").is_null()) {
        this->fetch_snapshot(address);
        return;
    }
    const auto changes = read_changes(response->at("changes"));
    const adoption_result result =
        changes ? this->deps.config.adopt(*changes, address) : adoption_result::refused;
    if (result == adoption_result::gap) {
        this->fetch_snapshot(address);
    }
    else if (result == adoption_result::refused) {
        log_line{"config_refused"}.add("peer", address).add("detail", last_failure().detail);
    }
}

void config_replicator::fetch_snapshot(const std::string& address)
{
    snapshot_builder builder;
    revision_number revision = 0;
    for (std::size_t index = 0; index < max_parts && !this->stopping; ++index) {
        const auto response = this->client.call(
            address, "snapshot", json::object({{"revision", revision}, {"index", index}}),
            boot_clock::now() + call_timeout);
        const auto part = response ? read_part(*response) : std::nullopt;
        if (!part || !builder.add(*part)) {
            log_line{response ? "config_refused" : "config_unfetched"}
                .add("peer", address)
                .add("detail", last_failure().detail);
            return;
        }
        revision = part->revision;
        if (part->last) {
            this->deps.config.adopt(*builder.finish(), address);
            return;
        }
    }
}

std::optional<json> config_replicator::on_changes_since(const json& params)
{
    const auto after = read_unsigned(params, "after");
    if (!after) {
        return fail("changes_since", this->deps.self.value, "after is missing");
    }
    auto changes = this->deps.config.changes_since(*after);
    if (!changes) {
        return json{{"changes", nullptr}};
    }
    std::size_t bytes = 0;
    const auto end = std::find_if(changes->begin(), changes->end(), [&bytes](const change& entry) {
        const std::size_t before = std::exchange(bytes, bytes + max_encoded_size(entry));
        return before > 0 && bytes > max_changes_bytes;
    });
    changes->erase(end, changes->end());
    return json{{"changes", encode_changes(*changes).dump()}};
}

std::optional<json> config_replicator::on_snapshot(const json& params)
{
    const auto revision = read_unsigned(params, "revision");
    const auto index = read_unsigned(params, "index");
    if (!revision || !index) {
        return fail("snapshot", this->deps.self.value, "revision or index is missing");
    }
    const auto list = this->snapshot_parts_for(*revision, *index);
    if (list == nullptr || *index >= list->size()) {
        return fail("snapshot", this->deps.self.value, "this part is not available");
    }
    const snapshot_part& part = (*list)[*index];
    return json{{"revision", part.revision},
                {"index", part.index},
                {"last", part.last},
                {"text", part.text}};
}

std::shared_ptr<const config_replicator::snapshot_parts>
config_replicator::snapshot_parts_for(revision_number revision, std::size_t index)
{
    const std::scoped_lock lock{this->served_mutex};
    const time_point now = boot_clock::now();
    if (index > 0) {
        const bool is_same =
            this->served_snapshot != nullptr && this->served_snapshot->front().revision == revision;
        return is_same ? this->served_snapshot : nullptr;
    }
    const auto current = this->deps.config.current();
    if (current->revision == 0) {
        return nullptr;
    }
    // Keep the snapshot for callers that have fetched some of its parts. Newer changes can be
    // fetched separately.
    if (this->served_snapshot == nullptr || now >= this->snapshot_reuse_until) {
        auto list = std::make_shared<snapshot_parts>();
        encode_snapshot(*current, part_bytes,
                        [&list](const snapshot_part& part) { list->push_back(part); });
        this->served_snapshot = std::move(list);
        this->snapshot_reuse_until = now + served_lifetime;
    }
    return this->served_snapshot;
}

} // namespace dragonflyroad
