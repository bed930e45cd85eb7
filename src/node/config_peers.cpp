#include "node/config_peers.hpp"

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
/// A node without a configuration asks one seed or peer after the other at this interval.
constexpr std::chrono::milliseconds bootstrap_interval{200};
constexpr std::chrono::seconds call_time{2};
constexpr std::size_t part_bytes = 256U << 10U;
/// A snapshot of a million organisations and a million keys takes a few hundred parts.
constexpr std::size_t most_parts = 4'096;
constexpr std::chrono::seconds served_lifetime{10};
/// Larger answers are cut; the caller asks again.
constexpr std::size_t most_changes_bytes = 1U << 20U;

bool is_live(const known_peer& peer)
{
    return peer.state != peer_state::lost && peer.state != peer_state::left && !peer.card.leaving;
}

std::uint64_t watch_score(const node_id& node)
{
    return stable_hash("config/head " + node.value);
}

/// JSON-RPC's library turns whole numbers into signed ones.
std::optional<std::uint64_t> number_of(const json& params, const char* name)
{
    if (!params.is_object() || !params.contains(name) || !params.at(name).is_number_integer() ||
        params.at(name).get<std::int64_t>() < 0) {
        return std::nullopt;
    }
    return params.at(name).get<std::uint64_t>();
}

/// Changes travel as JSON text, because their decoder insists on unsigned numbers.
std::optional<std::vector<change>> read_changes(const json& text)
{
    if (!text.is_string()) {
        return fail("decode", "changes", "not a text");
    }
    return decode_changes(json::parse(text.get_ref<const std::string&>(), nullptr, false));
}

std::optional<snapshot_part> read_part(const json& answer)
{
    const auto revision = number_of(answer, "revision");
    const auto index = number_of(answer, "index");
    if (!revision || !index || !answer.contains("last") || !answer.at("last").is_boolean() ||
        !answer.contains("text") || !answer.at("text").is_string()) {
        return fail("decode", "snapshot", "not a part with revision, index, last and text");
    }
    return snapshot_part{*revision, *index, answer.at("last").get<bool>(),
                         answer.at("text").get<std::string>()};
}

} // namespace

config_peers::config_peers(parts given)
    : own(std::move(given)), client(own.self, own.secret), sources(own.seeds)
{
}

void config_peers::add_methods(rpc_server& server)
{
    server.add("changes_since",
               [this](const json& params, const node_id&) { return this->show_changes(params); });
    server.add("snapshot",
               [this](const json& params, const node_id&) { return this->show_snapshot(params); });
}

void config_peers::start()
{
    this->task = std::make_unique<periodic_task>([this] { return this->run(); });
}

void config_peers::stop()
{
    this->stopping = true;
    if (this->task != nullptr) {
        this->task->stop();
    }
}

void config_peers::take_news(const membership_news& news)
{
    if (news.from.empty()) {
        return;
    }
    if (news.evidence && news.evidence->store_proof) {
        this->own.config.note_relayed_proof(news.revision, *news.evidence->store_proof);
    }
    const std::scoped_lock lock{this->mutex};
    this->revisions[news.from] = news.revision;
    if (news.revision > this->own.config.revision() && news.revision >= this->ahead_revision &&
        !news.rpc_address.empty()) {
        this->ahead_revision = news.revision;
        this->ahead_address = news.rpc_address;
        if (this->task != nullptr) {
            this->task->wake();
        }
    }
}

std::optional<revision_number> config_peers::revision_of(const node_id& peer) const
{
    const std::scoped_lock lock{this->mutex};
    const auto found = this->revisions.find(peer);
    return found == this->revisions.end() ? std::nullopt : std::optional{found->second};
}

duration config_peers::run()
{
    const time_point now = boot_clock::now();
    this->update_duty(now);
    this->release_snapshot(now);
    if (const auto address = this->choose_source(now)) {
        this->fetch(*address);
    }
    return idle_pause;
}

void config_peers::release_snapshot(time_point now)
{
    const std::scoped_lock lock{this->served_mutex};
    if (now >= this->served_until + served_lifetime) {
        this->served.reset();
    }
}

void config_peers::update_duty(time_point now)
{
    const std::vector<known_peer> peers = this->own.members.known();
    const contact reach = this->own.members.contacts(now);
    const std::uint64_t score = watch_score(this->own.self);
    std::size_t ahead = 0;
    std::vector<std::string> addresses = this->own.seeds;
    std::map<node_id, revision_number> kept;
    const std::scoped_lock lock{this->mutex};
    for (const known_peer& peer : peers) {
        if (const auto found = this->revisions.find(peer.card.node);
            found != this->revisions.end()) {
            kept.insert(*found);
        }
        if (!is_live(peer)) {
            continue;
        }
        addresses.push_back(peer.card.rpc_address);
        const bool precedes = std::pair{watch_score(peer.card.node), peer.card.node.value} >
                              std::pair{score, this->own.self.value};
        ahead += peer.card.centre == this->own.centre && precedes ? 1U : 0U;
    }
    std::erase(addresses, this->own.peer_address);
    this->sources = std::move(addresses);
    this->revisions = std::move(kept);
    this->own.config.set_duty({ahead < watchers_per_centre, reach.known + 1, reach.heard + 1});
}

std::optional<std::string> config_peers::choose_source(time_point now)
{
    const std::scoped_lock lock{this->mutex};
    const revision_number wanted = std::exchange(this->ahead_revision, 0);
    std::string address = std::exchange(this->ahead_address, {});
    if (wanted > this->own.config.revision()) {
        return address;
    }
    if (this->own.config.revision() > 0 || this->sources.empty() || now < this->next_bootstrap) {
        return std::nullopt;
    }
    this->next_bootstrap = now + bootstrap_interval;
    return this->sources[this->next_source++ % this->sources.size()];
}

void config_peers::fetch(const std::string& address)
{
    const revision_number after = this->own.config.revision();
    if (after == 0) {
        this->fetch_snapshot(address);
        return;
    }
    const auto answer = this->client.call(
        address, "changes_since", json::object({{"after", after}}), boot_clock::now() + call_time);
    if (!answer || !answer->is_object() || !answer->contains("changes")) {
        log_line{"config_unfetched"}.add("peer", address).add("detail", last_failure().detail);
        return;
    }
    if (answer->at("changes").is_null()) {
        this->fetch_snapshot(address);
        return;
    }
    const auto changes = read_changes(answer->at("changes"));
    const adoption result = changes ? this->own.config.adopt(*changes, address) : adoption::refused;
    if (result == adoption::gap) {
        this->fetch_snapshot(address);
    }
    else if (result == adoption::refused) {
        log_line{"config_refused"}.add("peer", address).add("detail", last_failure().detail);
    }
}

void config_peers::fetch_snapshot(const std::string& address)
{
    snapshot_builder builder;
    revision_number revision = 0;
    for (std::size_t index = 0; index < most_parts && !this->stopping; ++index) {
        const auto answer = this->client.call(
            address, "snapshot", json::object({{"revision", revision}, {"index", index}}),
            boot_clock::now() + call_time);
        const auto part = answer ? read_part(*answer) : std::nullopt;
        if (!part || !builder.add(*part)) {
            log_line{answer ? "config_refused" : "config_unfetched"}
                .add("peer", address)
                .add("detail", last_failure().detail);
            return;
        }
        revision = part->revision;
        if (part->last) {
            this->own.config.adopt(*builder.finish(), address);
            return;
        }
    }
}

std::optional<json> config_peers::show_changes(const json& params)
{
    const auto after = number_of(params, "after");
    if (!after) {
        return fail("changes_since", this->own.self.value, "after is missing");
    }
    auto changes = this->own.config.changes_since(*after);
    if (!changes) {
        return json{{"changes", nullptr}};
    }
    std::size_t bytes = 0;
    const auto end = std::find_if(changes->begin(), changes->end(), [&bytes](const change& entry) {
        const std::size_t before = std::exchange(bytes, bytes + encoded_size(entry));
        return before > 0 && bytes > most_changes_bytes;
    });
    changes->erase(end, changes->end());
    return json{{"changes", encode_changes(*changes).dump()}};
}

std::optional<json> config_peers::show_snapshot(const json& params)
{
    const auto revision = number_of(params, "revision");
    const auto index = number_of(params, "index");
    if (!revision || !index) {
        return fail("snapshot", this->own.self.value, "revision or index is missing");
    }
    const auto list = this->parts_of(*revision, *index);
    if (list == nullptr || *index >= list->size()) {
        return fail("snapshot", this->own.self.value, "this part is not available");
    }
    const snapshot_part& part = (*list)[*index];
    return json{{"revision", part.revision},
                {"index", part.index},
                {"last", part.last},
                {"text", part.text}};
}

std::shared_ptr<const config_peers::snapshot_parts> config_peers::parts_of(revision_number revision,
                                                                           std::size_t index)
{
    const std::scoped_lock lock{this->served_mutex};
    const time_point now = boot_clock::now();
    if (index > 0) {
        const bool is_same = this->served != nullptr && this->served->front().revision == revision;
        return is_same ? this->served : nullptr;
    }
    const auto current = this->own.config.current();
    if (current->revision == 0) {
        return nullptr;
    }
    // Callers in the middle of the kept snapshot need it; the new one's changes can be fetched.
    if (this->served == nullptr || now >= this->served_until) {
        auto list = std::make_shared<snapshot_parts>();
        encode_snapshot(*current, part_bytes,
                        [&list](const snapshot_part& part) { list->push_back(part); });
        this->served = std::move(list);
        this->served_until = now + served_lifetime;
    }
    return this->served;
}

} // namespace dragonflyroad
