#include "node/node.hpp"

#include "adapters/http_client.hpp"
#include "adapters/http_server.hpp"
#include "adapters/log.hpp"
#include "adapters/metrics.hpp"
#include "core/failure.hpp"
#include "node/admin_port.hpp"
#include "node/config_controller.hpp"
#include "node/config_replicator.hpp"
#include "node/explain_log.hpp"
#include "node/fleet_claims.hpp"
#include "node/fleet_quota.hpp"
#include "node/local_decisions.hpp"
#include "node/membership_controller.hpp"
#include "node/node_status.hpp"
#include "node/peer_port.hpp"
#include "node/periodic_task.hpp"
#include "node/pipeline.hpp"
#include "node/retry_decisions.hpp"
#include "node/routed_upstreams.hpp"
#include "node/shared_node_state.hpp"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <random>
#include <utility>

#include <fmt/format.h>

namespace dragonflyroad {
namespace {

constexpr std::size_t max_explained_requests = 4'096;
constexpr std::chrono::milliseconds routing_tick{50};
/// How long a stopping node tries to leave its seat, which it may do only after its loans have
/// ended. Loans last 3 s and are reclaimed by the lender after 3.6 s. If the store does not respond
/// in these 5 s, the node stops without leaving its seat, and the peers reclaim it.
constexpr std::chrono::seconds seat_leave_time{5};
/// How long a stopping node waits for the other seats to accept its claims before it starts to
/// leave its seat. Claims that are not accepted before the node has left are lost; their keys are
/// then refused for the repeat window.
constexpr std::chrono::seconds claim_hand_over_time{2};

template<typename Interface, typename Default>
void set_default(std::shared_ptr<Interface>& decision, std::shared_ptr<Default> fallback)
{
    if (decision == nullptr) {
        decision = std::move(fallback);
    }
}

} // namespace

struct node::components {
    components(const node_settings& given, decision_interfaces given_decisions,
               std::shared_ptr<transport> given_client, std::shared_ptr<store> given_store,
               const std::string& prefix, incarnation run)
        : settings(given),
          upstreams(std::make_shared<routed_upstreams>(given.id, run)),
          members(this->make_hooks(), run),
          rpc_methods(given.secret),
          peer_server(this->open_peer_port()),
          quota(this->make_quota(given_store, run)),
          claims(std::make_shared<fleet_claims>(fleet_claims::dependencies{
              given.id, {given.id, run}, *this->quota, this->shared_state, given.secret, run})),
          config(
              std::make_shared<config_controller>(std::move(given_store), this->shared_state, run)),
          replicator({given.id, given.centre, this->rpc_address(), given.seeds, given.secret,
                      *this->config, this->members}),
          request_pipeline({this->shared_state,
                            this->add_default_decisions(std::move(given_decisions)),
                            std::move(given_client), this->counters, this->explanations, prefix}),
          admin({this->members, this->counters, this->explanations, [this] {
                     return describe_node({this->settings.id, this->settings.centre,
                                           this->shared_state, *this->config, this->replicator,
                                           this->members, *this->quota, *this->upstreams},
                                          boot_clock::now());
                 }})
    {
    }

    decision_interfaces add_default_decisions(decision_interfaces decisions);
    membership_hooks make_hooks();
    std::unique_ptr<http_server> open_peer_port();
    std::shared_ptr<fleet_quota> make_quota(std::shared_ptr<store> ledger_store, incarnation run);
    std::string rpc_address() const;
    bool join_fleet(incarnation run);
    bool listen(const std::chrono::milliseconds& request_timeout);
    void start_controllers();
    void handle_admin(http_exchange& exchange);
    void spread_crashes(time_point now);
    void evaluate_upstreams();
    void handle(http_exchange& exchange);
    void wait_until_idle();

    node_settings settings;
    shared_node_state shared_state;
    metrics counters;
    explain_log explanations{max_explained_requests};
    std::shared_ptr<shared_crash_log> crashes = std::make_shared<shared_crash_log>();
    std::shared_ptr<routed_upstreams> upstreams;
    membership_controller members;
    rpc_server rpc_methods;
    std::atomic<bool> has_rpc_methods = false;
    std::unique_ptr<http_server> peer_server;
    std::shared_ptr<fleet_quota> quota;
    std::shared_ptr<fleet_claims> claims;
    /// False if a test replaces the rate limiter; the node then takes no seat.
    bool uses_quota = true;
    std::shared_ptr<config_controller> config;
    config_replicator replicator;
    pipeline request_pipeline;
    admin_port admin;
    std::unique_ptr<http_server> caller_server;
    std::unique_ptr<http_server> admin_server;
    std::unique_ptr<periodic_task> config_task;
    std::unique_ptr<periodic_task> routing_task;
    std::mutex mutex;
    std::condition_variable idle;
    std::size_t in_flight = 0;
    bool stopped = false;
    std::chrono::milliseconds leave_time{};
};

decision_interfaces node::components::add_default_decisions(decision_interfaces decisions)
{
    set_default(decisions.freshness, this->config);
    this->uses_quota = decisions.rate == nullptr;
    set_default(decisions.rate, this->quota);
    set_default(decisions.crash, this->crashes);
    set_default(decisions.claims, this->claims);
    set_default(decisions.upstreams, this->upstreams);
    set_default(decisions.retries, std::make_shared<budgeted_retries>());
    return decisions;
}

membership_hooks node::components::make_hooks()
{
    membership_hooks hooks;
    hooks.fill_advertised_state = [this](advertised_state& facts,
                                         const std::vector<seat_key>& peers, time_point now) {
        facts.store_proof = this->config->proof();
        facts.revision = this->config->revision();
        if (this->quota != nullptr) {
            this->quota->fill_advertised_state(facts, peers, now);
        }
    };
    hooks.on_membership_update = [this](const membership_update& update, time_point now) {
        std::vector<crash_record> records;
        for (const crash_report& report : update.crashes) {
            records.push_back({report.fingerprint, report.upstream, now - report.age});
        }
        this->crashes->merge(records, now);
        this->replicator.handle_membership_update(update);
        if (this->quota != nullptr) {
            this->quota->handle_membership_update(update, now);
        }
    };
    hooks.on_upstreams = [this](const auto& list) { this->upstreams->set_upstreams(list); };
    return hooks;
}

std::unique_ptr<http_server> node::components::open_peer_port()
{
    http_server_options options;
    options.address = this->settings.peer_address;
    options.threads = 16;
    return http_server::start(options, [this](http_exchange& exchange) {
        if (!this->has_rpc_methods) {
            exchange.send(503, {}, "");
            return;
        }
        handle_peer_request(this->rpc_methods, exchange);
    });
}

std::shared_ptr<fleet_quota> node::components::make_quota(std::shared_ptr<store> ledger_store,
                                                          incarnation run)
{
    fleet_quota::dependencies given{{this->settings.id, run},
                                    this->settings.centre,
                                    this->rpc_address(),
                                    std::move(ledger_store),
                                    this->members,
                                    this->shared_state,
                                    this->settings.secret,
                                    run};
    return std::make_shared<fleet_quota>(std::move(given));
}

bool node::components::join_fleet(incarnation run)
{
    peer_descriptor descriptor;
    descriptor.node = this->settings.id;
    descriptor.node_incarnation = run;
    descriptor.version = 1;
    descriptor.centre = this->settings.centre;
    descriptor.rpc_address = this->peer_server->address();
    descriptor.datagram_address = descriptor.rpc_address;
    descriptor.admin_address = this->admin_server->address();
    this->quota->add_methods(this->rpc_methods);
    this->claims->add_methods(this->rpc_methods);
    this->replicator.add_methods(this->rpc_methods);
    this->has_rpc_methods = true;
    return this->members.start(descriptor, this->settings.seeds, this->settings.secret);
}

std::string node::components::rpc_address() const
{
    return this->peer_server == nullptr ? "" : this->peer_server->address();
}

void node::components::handle_admin(http_exchange& exchange)
{
    // The admin port opens before membership starts, because membership advertises the port's
    // address. A status request in between crashed the process.
    if (this->shared_state.phase == node_phase::starting) {
        exchange.send(503, {{"Retry-After", "1"}}, "");
        return;
    }
    this->admin.handle(exchange);
}

bool node::components::listen(const std::chrono::milliseconds& request_timeout)
{
    http_server_options options;
    options.request_timeout = request_timeout;
    options.max_header_bytes = this->settings.max_header_bytes;
    options.address = this->settings.admin_address;
    options.threads = 8;
    this->admin_server = http_server::start(
        options, [this](http_exchange& exchange) { this->handle_admin(exchange); });
    if (this->admin_server == nullptr || this->peer_server == nullptr) {
        return false;
    }
    options.address = this->settings.caller_address;
    options.threads = static_cast<int>(this->settings.worker_threads);
    this->caller_server =
        http_server::start(options, [this](http_exchange& exchange) { this->handle(exchange); });
    return this->caller_server != nullptr;
}

void node::components::start_controllers()
{
    if (this->uses_quota) {
        this->quota->start();
        this->claims->start();
    }
    this->replicator.start();
    this->config->add_metrics(this->counters);
    this->config_task =
        std::make_unique<periodic_task>([this] { return this->config->follow_head(); });
    this->routing_task = std::make_unique<periodic_task>([this] {
        this->evaluate_upstreams();
        return duration{routing_tick};
    });
}

void node::components::spread_crashes(time_point now)
{
    for (const crash_record& crash : this->crashes->drain_new_crashes()) {
        this->members.report_crash({crash.fingerprint, crash.upstream, now - crash.at}, now);
    }
}

void node::components::evaluate_upstreams()
{
    this->spread_crashes(boot_clock::now());
    const auto current = this->shared_state.config.read();
    std::unordered_map<service_name, double> floors;
    for (const auto& [name, entry] : current->services) {
        const auto rules = current->profiles.find(entry.profile);
        if (rules != current->profiles.end()) {
            floors[name] = rules->second.floor;
        }
    }
    for (const ejection_change& change : this->upstreams->tick(floors, boot_clock::now())) {
        log_line{"upstream_step"}
            .add("service", change.service.value)
            .add("upstream", change.upstream.value)
            .add("from", to_code(change.from))
            .add("to", to_code(change.to))
            .add("suspicion", change.suspicion);
    }
}

void node::components::handle(http_exchange& exchange)
{
    {
        const std::scoped_lock lock{this->mutex};
        ++this->in_flight;
    }
    this->request_pipeline.handle(exchange);
    const std::scoped_lock lock{this->mutex};
    if (--this->in_flight == 0) {
        this->idle.notify_all();
    }
}

void node::components::wait_until_idle()
{
    std::unique_lock lock{this->mutex};
    this->idle.wait(lock, [this] { return this->in_flight == 0; });
}

node::node(std::unique_ptr<components> assembled) : impl(std::move(assembled)) {}

node::~node()
{
    this->stop();
}

const std::string& node::caller_address() const
{
    return this->impl->caller_server->address();
}

const std::string& node::admin_address() const
{
    return this->impl->admin_server->address();
}

const std::string& node::peer_address() const
{
    return this->impl->peer_server->address();
}

bool node::wait_for_revision(revision_number revision, time_point deadline) const
{
    return this->impl->config->wait_for_revision(revision, deadline);
}

void node::stop()
{
    components& self = *this->impl;
    {
        const std::scoped_lock lock{self.mutex};
        if (std::exchange(self.stopped, true)) {
            return;
        }
    }
    log_line{"node_leaving"}.add("node", self.settings.id.value);
    self.shared_state.phase = node_phase::leaving;
    self.members.leave(boot_clock::now());
    self.caller_server->close_after_responses();
    {
        // "Connection: close" in responses tells clients to move to another node.
        std::unique_lock lock{self.mutex};
        self.idle.wait_for(lock, self.leave_time, [] { return false; });
    }
    self.shared_state.phase = node_phase::stopping;
    self.wait_until_idle();
    self.caller_server->stop();
    if (self.uses_quota) {
        self.claims->hand_over(boot_clock::now() + claim_hand_over_time);
        self.quota->stop(boot_clock::now() + seat_leave_time);
        self.claims->stop();
    }
    self.replicator.stop();
    self.config_task->stop();
    self.routing_task->stop();
    self.members.stop();
    self.peer_server->stop();
    self.admin_server->stop();
    log_line{"node_stopped"}.add("node", self.settings.id.value);
}

node_builder::node_builder(node_settings values) : settings(std::move(values)) {}
node_builder::~node_builder() = default;

node_builder& node_builder::with_store(std::shared_ptr<store> client)
{
    this->store_client = std::move(client);
    return *this;
}

node_builder& node_builder::with_transport(std::shared_ptr<transport> value)
{
    this->upstream_client = std::move(value);
    return *this;
}

node_builder& node_builder::with_decisions(decision_interfaces values)
{
    this->decisions = std::move(values);
    return *this;
}

node_builder& node_builder::with_incarnation(incarnation value)
{
    this->run = value;
    return *this;
}

node_builder& node_builder::with_leave_time(std::chrono::milliseconds time)
{
    this->leave_time = time;
    return *this;
}

node_builder& node_builder::with_request_timeout(std::chrono::milliseconds time)
{
    this->request_timeout = time;
    return *this;
}

std::unique_ptr<node> node_builder::start()
{
    if (this->run == std::nullopt) {
        std::random_device entropy;
        random_engine random{(static_cast<std::uint64_t>(entropy()) << 32U) | entropy()};
        this->run = make_incarnation(std::chrono::system_clock::now(), random);
    }
    if (this->upstream_client == nullptr) {
        this->upstream_client = std::make_shared<http_client>();
    }
    const std::string prefix = fmt::format("{}-{:x}", this->settings.id.value, *this->run);
    auto assembled =
        std::make_unique<node::components>(this->settings, this->decisions, this->upstream_client,
                                           this->store_client, prefix, *this->run);
    assembled->leave_time = this->leave_time;
    if (!assembled->listen(this->request_timeout) || !assembled->join_fleet(*this->run)) {
        return nullptr;
    }
    assembled->shared_state.phase = node_phase::serving;
    log_line{"node_started"}
        .add("node", this->settings.id.value)
        .add("caller_address", assembled->caller_server->address())
        .add("peer_address", assembled->peer_server->address())
        .add("admin_address", assembled->admin_server->address());
    assembled->start_controllers();
    return std::unique_ptr<node>{new node{std::move(assembled)}};
}

} // namespace dragonflyroad
