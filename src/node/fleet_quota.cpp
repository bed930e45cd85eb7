#include "node/fleet_quota.hpp"

#include "adapters/log.hpp"
#include "core/failure.hpp"
#include "limits/ledger_codec.hpp"
#include "limits/message_codec.hpp"
#include "membership/fleet_membership.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

namespace dragonflyroad {
namespace {

constexpr const char* ledger_key = "rights/ledger";
constexpr std::chrono::milliseconds control_tick{100};
constexpr std::chrono::milliseconds loan_tick{10};
constexpr std::chrono::milliseconds store_timeout{500};
constexpr std::chrono::milliseconds call_timeout{100};
/// Maximum time that a request waits for a loan; see admission::wait.
constexpr std::chrono::milliseconds loan_wait{100};

rate_verdict to_verdict(admission result)
{
    switch (result) {
    case admission::admitted:
        return rate_verdict::admitted;
    case admission::over_rate:
        return rate_verdict::over_rate;
    case admission::wait:
    case admission::unproved:
        break;
    }
    return rate_verdict::unproved;
}

ledger_write_outcome to_ledger_outcome(write_outcome outcome)
{
    switch (outcome) {
    case write_outcome::written:
        return ledger_write_outcome::written;
    case write_outcome::conflict:
        return ledger_write_outcome::conflict;
    case write_outcome::unknown:
        break;
    }
    return ledger_write_outcome::unknown;
}

} // namespace

fleet_quota::fleet_quota(dependencies given)
    : deps(std::move(given)),
      quota(deps.key),
      client(deps.key.node, deps.secret),
      random(deps.seed),
      controller(deps.key, deps.centre, deps.peer_address, quota)
{
}

rate_verdict fleet_quota::admit(const organisation& limits, time_point deadline)
{
    time_point now = boot_clock::now();
    admission result = this->quota.admit(limits, now);
    if (result != admission::wait) {
        return to_verdict(result);
    }
    this->loan_task->wake();
    const time_point limit = std::min(deadline, now + loan_wait);
    std::unique_lock lock{this->mutex};
    while (result == admission::wait && now < limit) {
        this->changed.wait_for(lock, limit - now);
        now = boot_clock::now();
        result = this->quota.retry(limits, now);
    }
    return to_verdict(result == admission::wait ? this->quota.last_try(limits, now) : result);
}

void fleet_quota::add_methods(rpc_server& server)
{
    using json = nlohmann::json;
    server.add_method(
        "borrow", [this](const json& params, const node_id&) { return this->on_borrow(params); });
    server.add_method("return_loan", [this](const json& params, const node_id&) {
        return this->on_return_loan(params);
    });
    server.add_method(
        "consent", [this](const json& params, const node_id&) { return this->on_consent(params); });
    server.add_method("ledger", [this](const json&, const node_id&) { return this->on_ledger(); });
}

void fleet_quota::start()
{
    this->loan_task = std::make_unique<periodic_task>([this] { return this->run_loan_cycle(); });
    this->control_task =
        std::make_unique<periodic_task>([this] { return this->run_control_cycle(); });
}

void fleet_quota::stop(time_point deadline)
{
    std::unique_lock lock{this->mutex};
    this->controller.stop(boot_clock::now());
    while (!this->controller.has_left() && boot_clock::now() < deadline) {
        this->changed.wait_for(lock, deadline - boot_clock::now());
    }
    lock.unlock();
    this->control_task->stop();
    this->loan_task->stop();
    this->loans.stop();
}

duration fleet_quota::run_control_cycle()
{
    const std::vector<seat_peer> peers = this->deps.members.seat_peers();
    this->fetch_requested_ledger();
    seat_actions step;
    {
        const std::scoped_lock lock{this->mutex};
        const time_point now = boot_clock::now();
        step = this->controller.step(peers, this->random, now);
        this->quota.evict(now);
    }
    if (step.seat_lost) {
        this->rejoin();
        return control_tick;
    }
    if (step.write) {
        this->perform_ledger_write(*step.write);
    }
    if (step.read_ledger) {
        this->perform_ledger_read();
    }
    this->request_consents(step);
    this->changed.notify_all();
    return control_tick;
}

void fleet_quota::rejoin()
{
    seat_key next = this->deps.key;
    {
        const std::scoped_lock lock{this->mutex};
        next.node_incarnation =
            std::max(make_incarnation(std::chrono::system_clock::now(), this->random),
                     this->controller.key().node_incarnation + 1);
    }
    log_line{"seat_lost"}.add("node", next.node.value).add("next_run", next.node_incarnation);
    // Update membership first: acknowledgements by witnesses for the previous run must not count as
    // evidence for the seat of the next run.
    this->deps.members.continue_with_incarnation(next.node_incarnation, boot_clock::now());
    const std::scoped_lock lock{this->mutex};
    this->controller.rejoin(next, boot_clock::now());
}

void fleet_quota::perform_ledger_write(const ledger_write& write)
{
    const write_result result = this->deps.ledger_store->write(
        ledger_key, encode(write.book), write.expected_version, boot_clock::now() + store_timeout);
    if (write.kind != "proof") {
        log_line{"ledger_write"}
            .add("kind", write.kind)
            .add("outcome", static_cast<int>(result.outcome));
    }
    const std::scoped_lock lock{this->mutex};
    this->controller.record_write_outcome(to_ledger_outcome(result.outcome), result.version,
                                          boot_clock::now());
}

void fleet_quota::perform_ledger_read()
{
    const auto value = this->deps.ledger_store->read(ledger_key, boot_clock::now() + store_timeout);
    const time_point now = boot_clock::now();
    const std::scoped_lock lock{this->mutex};
    if (!value) {
        this->controller.record_read_failure(now);
        return;
    }
    if (value->version == 0) {
        this->controller.record_read(std::nullopt, 0, now);
        return;
    }
    const auto book = decode_ledger(value->bytes);
    if (!book) {
        log_line{"ledger_refused"}.add("detail", last_failure().detail);
        this->controller.record_read_failure(now);
        return;
    }
    this->controller.record_read(book, value->version, now);
}

void fleet_quota::request_consents(const seat_actions& step)
{
    for (const auto& [to, message] : step.consents) {
        const auto address = this->deps.members.rpc_address(to);
        const auto response = !address ? std::nullopt
                                       : this->client.call(*address, "consent", to_json(message),
                                                           boot_clock::now() + call_timeout);
        const auto reply = !response ? std::nullopt : from_json<consent_reply>(*response);
        if (reply) {
            const std::scoped_lock lock{this->mutex};
            this->controller.record_consent_reply(to, *reply, boot_clock::now());
        }
    }
}

void fleet_quota::fetch_requested_ledger()
{
    std::string address;
    {
        const std::scoped_lock lock{this->mutex};
        address = std::exchange(this->ledger_source, {});
    }
    if (!address.empty()) {
        this->fetch_ledger(address, boot_clock::now() + call_timeout);
    }
}

void fleet_quota::fetch_ledger(const std::string& address, time_point deadline)
{
    if (this->is_fetching.exchange(true)) {
        return;
    }
    const auto response = this->client.call(address, "ledger", nlohmann::json::object(), deadline);
    this->is_fetching = false;
    if (!response || !response->is_object() || !response->contains("book") ||
        !response->at("book").is_string()) {
        return;
    }
    if (const auto book = decode_ledger(response->at("book").get<std::string>())) {
        const std::scoped_lock lock{this->mutex};
        // A peer's ledger comes without its store version, which the next read or write returns.
        this->controller.record_relayed_ledger(*book, 0, boot_clock::now());
    }
}

duration fleet_quota::run_loan_cycle()
{
    const std::vector<seat_peer> peers = this->deps.members.seat_peers();
    loan_plan plan;
    {
        const std::scoped_lock lock{this->mutex};
        plan = this->quota.plan_loan_messages(this->controller.lenders(peers), this->random,
                                              boot_clock::now());
    }
    for (const auto& request : plan.requests) {
        const bool is_queued = this->loans.submit(
            request.to, [this, request] { return this->send_borrow_request(request); });
        if (!is_queued) {
            this->quota.record_loan_failure(request.message.id, boot_clock::now());
        }
    }
    for (const auto& message : plan.returns) {
        // If the return is not sent, the loan expires at its deadline.
        this->loans.submit(message.to, [this, message] { return this->send_loan_return(message); });
    }
    return loan_tick;
}

bool fleet_quota::send_borrow_request(const addressed<borrow_request>& request)
{
    const auto address = this->deps.members.rpc_address(request.to);
    const auto response = !address ? std::nullopt
                                   : this->client.call(*address, "borrow", to_json(request.message),
                                                       boot_clock::now() + call_timeout);
    const auto reply = !response ? std::nullopt : from_json<borrow_reply>(*response);
    if (!reply) {
        this->quota.record_loan_failure(request.message.id, boot_clock::now());
        return false;
    }
    this->quota.accept_loan(*reply, boot_clock::now());
    const std::scoped_lock lock{this->mutex};
    this->changed.notify_all();
    return true;
}

bool fleet_quota::send_loan_return(const addressed<loan_return>& message)
{
    const auto address = this->deps.members.rpc_address(message.to);
    return address && this->client.call(*address, "return_loan", to_json(message.message),
                                        boot_clock::now() + call_timeout);
}

std::optional<nlohmann::json> fleet_quota::on_borrow(const nlohmann::json& params)
{
    const auto request = from_json<borrow_request>(params);
    if (!request) {
        return std::nullopt;
    }
    const auto config = this->deps.shared_state.config.read();
    const auto limits = config->organisations.find(request->organisation);
    if (limits == config->organisations.end()) {
        return fail("borrow", request->borrower.node.value, "the organisation is not known");
    }
    return to_json(this->quota.lend(*request, limits->second, boot_clock::now()));
}

std::optional<nlohmann::json> fleet_quota::on_return_loan(const nlohmann::json& params)
{
    const auto message = from_json<loan_return>(params);
    if (!message) {
        return std::nullopt;
    }
    this->quota.accept_loan_return(*message, boot_clock::now());
    return nlohmann::json::object();
}

std::optional<nlohmann::json> fleet_quota::on_consent(const nlohmann::json& params)
{
    const auto request = from_json<consent_request>(params);
    if (!request) {
        return std::nullopt;
    }
    time_point last_heard{};
    for (const seat_peer& peer : this->deps.members.seat_peers()) {
        last_heard = peer.key == request->holder ? peer.last_heard : last_heard;
    }
    const std::scoped_lock lock{this->mutex};
    return to_json(
        this->controller.handle_consent_request(*request, last_heard, boot_clock::now()));
}

std::optional<nlohmann::json> fleet_quota::on_ledger()
{
    const std::scoped_lock lock{this->mutex};
    if (!this->controller.knows_ledger()) {
        return fail("ledger", this->deps.key.node.value, "the ledger is not known yet");
    }
    return nlohmann::json{{"book", encode(this->controller.book())}};
}

seat_facts fleet_quota::current_seat(const seat_key& known_key, std::uint64_t known_version,
                                     time_point now) const
{
    const std::scoped_lock lock{this->mutex};
    seat_facts facts{this->controller.key(), this->controller.has_open_fence(now), std::nullopt};
    if (this->controller.knows_ledger() &&
        (known_key != facts.key || known_version < this->controller.book().seat_version)) {
        facts.newer_ledger = this->controller.book();
    }
    return facts;
}

void fleet_quota::request_ledger(const node_id& peer)
{
    const auto address = this->deps.members.rpc_address(peer);
    const std::scoped_lock lock{this->mutex};
    this->ledger_source = address.value_or(this->ledger_source);
}

void fleet_quota::set_claims_handed_over(std::uint64_t seat_version)
{
    const std::scoped_lock lock{this->mutex};
    this->controller.set_claims_handed_over(seat_version);
}

seat_status fleet_quota::status(time_point now) const
{
    const std::scoped_lock lock{this->mutex};
    return {this->controller.has_open_fence(now), this->quota.units()};
}

void fleet_quota::fill_advertised_state(advertised_state& facts, const std::vector<seat_key>& peers,
                                        time_point now)
{
    const std::scoped_lock lock{this->mutex};
    if (this->controller.knows_ledger()) {
        const ledger& book = this->controller.book();
        facts.seat_version = book.version;
        if (this->controller.proof().ledger_version == book.version) {
            facts.ledger_proof = this->controller.proof().as_of;
        }
        if (const seat* const entry = book.find(this->controller.key())) {
            for (const seat_key& witness : entry->witnesses) {
                facts.witnesses.push_back(witness.node);
            }
        }
    }
    for (const seat_key& peer : peers) {
        if (!this->controller.promises(peer, now)) {
            facts.consented.insert(peer.node_incarnation);
        }
    }
}

void fleet_quota::handle_membership_update(const membership_update& update, time_point now)
{
    const std::scoped_lock lock{this->mutex};
    if (update.seat_version > this->controller.book().version && !update.rpc_address.empty()) {
        this->ledger_source = update.rpc_address;
    }
    if (!update.evidence) {
        return;
    }
    const ack_evidence& proof = *update.evidence;
    this->controller.record_promise({proof.from, proof.node_incarnation}, proof.witness_promise,
                                    proof.proved_at);
    if (proof.ledger_proof) {
        this->controller.record_proof({update.seat_version, 0, *proof.ledger_proof}, now);
    }
}

} // namespace dragonflyroad
