#include "mesh/mesh_node.hpp"

#include "adapters/log.hpp"
#include "core/failure.hpp"
#include "node/refusal.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace dragonflyroad {
namespace {

using milliseconds = std::chrono::milliseconds;

/// Age of the proof above which the configuration may lack a change; above the 1.5 s of a watch.
constexpr milliseconds current_limit{2'200};

/// Age of the proof above which peers are asked for theirs, and how often.
constexpr milliseconds relay_after{2'000};
constexpr milliseconds watchdog_interval{300};
constexpr std::size_t relay_peers = 3;

/// Questions without an answer are forgotten.
constexpr std::size_t most_questions = 64;

/// Callers learn within two missed checks, one a second each, that this node stops.
constexpr milliseconds least_stop_time{2'600};

/// New requests of kept connections are refused after this part of the stop: their run could not
/// end before the process has to.
constexpr milliseconds refuse_after{3'200};

constexpr milliseconds stop_check_interval{100};

/// A value that no earlier run of this node had.
incarnation draw_incarnation()
{
    std::random_device device;
    return std::uniform_int_distribution<incarnation>{1}(device);
}

} // namespace

mesh_node::mesh_node(boost::asio::io_context& loop, mesh_settings given, shared_store& store,
                     fleet_state::decode_function decode)
    : context(loop),
      options(std::move(given)),
      run(draw_incarnation()),
      requests(loop, this->options.names, this->options.node, this->options.centre,
               this->options.repeats),
      runner(loop, this->options.names),
      state(loop, store, this->requests.directory, this->options.layout,
            this->state_callbacks(std::move(decode))),
      quota(loop, this->options.node, this->options.quota, this->quota_callbacks()),
      links(loop, {this->options.node, this->run, this->options.peer_address},
            this->link_callbacks()),
      peers(loop, {this->options.node, this->run, this->options.peer_address},
            this->peer_callbacks()),
      callers(loop, this->caller_callbacks()),
      watchdog(loop),
      stop_timer(loop)
{
    this->requests.set_sender(
        [this](const node_id& to, const link_message& message) { this->send(to, message); });
    this->requests.reconnect = [this](const node_id& node) {
        if (node != this->options.node) {
            this->links.reconnect(node);
        }
    };
    this->runner.on_change([this] { this->publish(); });
    this->add_metrics();
}

fleet_state::callbacks mesh_node::state_callbacks(fleet_state::decode_function decode)
{
    fleet_state::callbacks functions;
    functions.decode_configuration = std::move(decode);
    functions.configuration_changed = [] {};
    functions.group_lost = [this](std::size_t group) { this->quota.drop_group(group); };
    return functions;
}

quota_desk::callbacks mesh_node::quota_callbacks()
{
    quota_desk::callbacks functions;
    functions.keeper_of = [this](std::size_t group) { return this->state.keeper_of(group); };
    functions.is_held = [this](std::size_t group) { return this->state.holds_group(group); };
    functions.limit_of = [this](const organisation_id& organisation) {
        const auto table = this->state.configuration();
        const organisation_rule* rule =
            table == nullptr ? nullptr : table->find_organisation(organisation);
        return rule == nullptr ? organisation_limit{} : rule->limit;
    };
    functions.fleet_size = [this] { return this->requests.directory.size(); };
    functions.send = [this](const node_id& to, const link_message& message) {
        this->send(to, message);
    };
    return functions;
}

link_table::callbacks mesh_node::link_callbacks()
{
    link_table::callbacks functions;
    functions.receive = [this](const node_id& from, link_message message) {
        this->receive(from, std::move(message));
    };
    functions.address_of = [this](const node_id& node) {
        const vm_entry* entry = this->requests.directory.find(node);
        return entry == nullptr ? std::string{} : entry->address;
    };
    functions.open_runs = [this](const node_id& node) { return this->requests.open_runs(node); };
    functions.unreachable = [this](const node_id& node, const std::string&) {
        this->requests.on_unreachable(node);
    };
    functions.restarted = [this](const node_id& node) { this->requests.on_restarted(node); };
    functions.expects_traffic = [this](const node_id& node) { return this->requests.awaits(node); };
    return functions;
}

peer_listener::callbacks mesh_node::peer_callbacks()
{
    peer_listener::callbacks functions;
    functions.opened = [this](const node_id& from, const hello_message& hello,
                              const peer_listener::send_function& reply) {
        if (this->requests.directory.find(from) == nullptr) {
            vm_entry entry;
            entry.node = from;
            entry.run = hello.run;
            entry.address = hello.address;
            this->requests.directory.put(entry);
        }
        this->runner.attach(from, hello, reply);
    };
    functions.receive = [this](const node_id& from, link_message message,
                               const peer_listener::send_function& reply) {
        this->on_peer_message(from, std::move(message), reply);
    };
    functions.closed = [this](const node_id& from) { this->runner.detach(from); };
    return functions;
}

server_callbacks mesh_node::caller_callbacks()
{
    server_callbacks functions;
    functions.serve = [this](http_request request, time_point arrived, answer_function answer) {
        return this->serve(std::move(request), arrived, std::move(answer));
    };
    functions.may_overtake = [this](const request_head& head) {
        const auto table = this->state.configuration();
        const auto host = find_header(head.headers, "Host").value_or("");
        const route_rule* route = table == nullptr ? nullptr : table->match(host, head.target);
        return route != nullptr && route->may_repeat();
    };
    functions.reject = [this](decode_state fault) {
        refused_admission refused;
        if (fault == decode_state::header_too_large) {
            refused.reason = refusal_reason::header_too_large;
        }
        else if (fault == decode_state::body_too_large) {
            refused.reason = refusal_reason::body_too_large;
        }
        return this->refusal_answer(refused);
    };
    functions.limits = [this] {
        const auto table = this->state.configuration();
        return table == nullptr ? caller_limits{} : table->limits();
    };
    return functions;
}

bool mesh_node::start()
{
    if (!this->peers.listen(this->options.peer_address) ||
        !this->callers.listen(this->options.caller_address)) {
        return false;
    }
    vm_entry own;
    own.node = this->options.node;
    own.run = this->run;
    own.address = this->options.peer_address;
    own.centre = this->options.centre;
    this->state.start(own);
    this->arm_watchdog();
    return true;
}

void mesh_node::publish()
{
    const auto serving = this->runner.serving();
    vm_entry own;
    own.node = this->options.node;
    own.run = this->run;
    own.address = this->options.peer_address;
    own.centre = this->options.centre;
    if (serving) {
        own.service = serving->service;
        own.slots = serving->slots;
    }
    this->state.publish(own);
}

bool mesh_node::is_ready() const
{
    return this->stop_began == time_point{} && this->state.configuration() != nullptr;
}

std::shared_ptr<served_request> mesh_node::serve(http_request request, time_point arrived,
                                                 answer_function answer)
{
    this->requests.counters.count_request();
    const time_point now = boot_clock::now();
    admission_view view;
    view.table = this->state.configuration();
    view.is_current = this->state.proof().is_recent(now, current_limit);
    view.may_trust_keys = this->state.proof().is_recent(now, this->options.proof_limit);
    view.is_stopping = this->stop_began != time_point{} && now > this->stop_began + refuse_after;
    view.caller_service = this->options.caller_service;
    auto result =
        admit(std::move(request), arrived, view, this->options.names, this->requests.random);
    if (const auto* refused = std::get_if<refused_admission>(&result)) {
        answer(this->refusal_answer(*refused));
        return nullptr;
    }
    const auto dispatched = std::make_shared<dispatched_request>(
        this->requests, this->quota, std::get<accepted_request>(std::move(result)),
        std::move(answer));
    dispatched->start();
    return dispatched;
}

http_answer mesh_node::refusal_answer(const refused_admission& refused)
{
    const refusal_description& description = describe(refused.reason);
    this->requests.counters.count_refusal(refused.reason);
    const auto proof_age = boot_clock::now() - this->state.proof().as_of();
    log_line{"refusal"}
        .add("request", refused.id)
        .add("reason", description.code)
        .add("ran", "no")
        .add("revision", refused.revision)
        .add("proof_age_ms", std::chrono::duration_cast<milliseconds>(proof_age).count())
        .add("detail", refused.detail);
    refusal body;
    body.reason = refused.reason;
    body.detail = refused.detail;
    body.revision = refused.revision;
    if (description.status == 503) {
        body.retry_after = watchdog_interval;
    }
    http_answer answer;
    answer.status = description.status;
    answer.headers = refusal_headers(body, refused.id);
    answer.body = refusal_body(body, refused.id);
    return answer;
}

void mesh_node::send(const node_id& to, const link_message& message)
{
    if (to != this->options.node) {
        this->links.send(to, message);
        return;
    }
    // Messages to this node itself take the same path, without a link.
    boost::asio::post(this->context, [this, message] {
        this->on_peer_message(this->options.node, message, [this](const link_message& reply) {
            boost::asio::post(this->context,
                              [this, reply] { this->receive(this->options.node, reply); });
        });
    });
}

void mesh_node::receive(const node_id& from, link_message message)
{
    if (const auto* reply = std::get_if<quota_reply_message>(&message)) {
        this->quota.receive(*reply);
    }
    else if (const auto* currency = std::get_if<currency_reply_message>(&message)) {
        this->receive_currency(from, *currency);
    }
    else {
        this->requests.receive(from, message);
    }
}

void mesh_node::on_peer_message(const node_id& from, link_message message,
                                const upstream_runner::reply_function& reply)
{
    if (const auto* question = std::get_if<quota_message>(&message)) {
        reply(this->quota.answer(*question));
    }
    else if (const auto* returned = std::get_if<quota_return_message>(&message)) {
        this->quota.take_back(*returned);
    }
    else if (const auto* currency = std::get_if<currency_message>(&message)) {
        reply(this->answer_currency(*currency));
    }
    else {
        this->runner.receive(from, std::move(message), reply);
    }
}

currency_reply_message mesh_node::answer_currency(const currency_message& question) const
{
    currency_reply_message reply;
    const auto table = this->state.configuration();
    const time_point as_of = this->state.proof().as_of();
    reply.nonce = question.nonce;
    reply.has_proof = table != nullptr && as_of != time_point{};
    if (reply.has_proof) {
        reply.revision = table->revision();
        reply.proof_age = std::chrono::ceil<milliseconds>(boot_clock::now() - as_of);
        if (table->revision() > question.revision) {
            reply.configuration = table->to_json();
        }
    }
    return reply;
}

void mesh_node::receive_currency(const node_id& from, const currency_reply_message& reply)
{
    const auto asked = this->currency_questions.find(reply.nonce);
    if (asked == this->currency_questions.end()) {
        return;
    }
    const time_point asked_at = asked->second;
    this->currency_questions.erase(asked);
    if (!reply.has_proof) {
        return;
    }
    if (reply.configuration.is_object()) {
        auto table = routing_table::from_json(reply.configuration, from.value);
        if (!table) {
            log_line{"configuration_rejected"}
                .add("source", from.value)
                .add("detail", last_failure().detail);
            return;
        }
        this->state.adopt(std::move(*table), from.value);
    }
    // The peer answered after the question was sent, so its proof is at least as recent as this.
    const auto table = this->state.configuration();
    if (table != nullptr && table->revision() >= reply.revision) {
        this->state.note_proof(reply.revision, asked_at - reply.proof_age);
    }
}

void mesh_node::ask_currency()
{
    std::vector<node_id> known;
    for (const auto& [node, entry] : this->requests.directory.all()) {
        if (node != this->options.node) {
            known.push_back(node);
        }
    }
    std::ranges::shuffle(known, this->requests.random);
    known.resize(std::min(known.size(), relay_peers));
    const auto table = this->state.configuration();
    while (this->currency_questions.size() > most_questions) {
        this->currency_questions.erase(this->currency_questions.begin());
    }
    for (const node_id& node : known) {
        this->currency_questions[++this->last_nonce] = boot_clock::now();
        this->send(node,
                   currency_message{this->last_nonce, table == nullptr ? 0 : table->revision()});
    }
}

void mesh_node::arm_watchdog()
{
    this->watchdog.expires_after(watchdog_interval);
    this->watchdog.async_wait([this](const boost::system::error_code& error) {
        if (error) {
            return;
        }
        if (!this->state.proof().is_recent(boot_clock::now(), relay_after)) {
            this->ask_currency();
        }
        this->arm_watchdog();
    });
}

void mesh_node::stop(std::function<void()> stopped)
{
    if (this->stop_began != time_point{}) {
        return;
    }
    log_line{"stopping"}
        .add("open_requests", this->callers.open_requests())
        .add("running", this->runner.running());
    this->on_stopped = std::move(stopped);
    this->stop_began = boot_clock::now();
    this->stop_by = this->stop_began + this->options.stop_limit;
    this->callers.begin_stop();
    this->runner.begin_stop();
    this->state.begin_stop();
    this->check_stop();
}

void mesh_node::check_stop()
{
    const time_point now = boot_clock::now();
    const bool is_idle = this->callers.open_requests() == 0 && this->runner.running() == 0;
    if ((is_idle && now > this->stop_began + least_stop_time) || now > this->stop_by) {
        log_line{"stopped"}
            .add("open_requests", this->callers.open_requests())
            .add("running", this->runner.running());
        this->state.finish_stop();
        this->callers.close();
        this->links.close_all();
        this->peers.close();
        this->watchdog.cancel();
        this->on_stopped();
        return;
    }
    this->stop_timer.expires_after(stop_check_interval);
    this->stop_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            this->check_stop();
        }
    });
}

void mesh_node::add_metrics()
{
    metrics& counters = this->requests.counters;
    counters.add_source("running", "gauge",
                        [this] { return static_cast<double>(this->runner.running()); });
    counters.add_source("waiting", "gauge",
                        [this] { return static_cast<double>(this->runner.waiting()); });
    counters.add_source("upstream_connections_total", "counter",
                        [this] { return static_cast<double>(this->runner.connections_opened()); });
    counters.add_source("known_nodes", "gauge",
                        [this] { return static_cast<double>(this->requests.directory.size()); });
    counters.add_source("log_lines_left_out_total", "counter",
                        [] { return static_cast<double>(log_lines_left_out()); });
}

} // namespace dragonflyroad
