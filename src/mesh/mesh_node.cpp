#include "mesh/mesh_node.hpp"

#include "adapters/log.hpp"
#include "core/failure.hpp"
#include "dispatch/writer_rank.hpp"
#include "node/refusal.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace dragonflyroad {
namespace {

using milliseconds = std::chrono::milliseconds;

/// Greatest proof age at which the configuration counts as current. More than 2.6 s, the greatest
/// proof age of a node that receives the configuration from another node instead of the store.
constexpr milliseconds max_current_proof_age{3'000};

/// Retry-After of requests that are refused with status 503, such as those that need a
/// configuration that this node does not have yet.
constexpr milliseconds unavailable_retry_after{300};

/// Shortest duration of a stop. Callers check readiness once a second and detect the stop after two
/// failed checks, so requests still arrive until then.
constexpr milliseconds min_stop_time{2'600};

/// Time after the start of the stop from which new requests on persistent connections are refused.
/// Callers have been directed to other nodes by then, and a request that is taken later may not
/// complete before the process must end.
constexpr milliseconds refuse_new_requests_after{2'800};

constexpr milliseconds stop_check_interval{100};

/// Time between the last answers and the end of the process, in which callers and other nodes read
/// them: several round trips between data centres.
constexpr milliseconds flush_time{150};

/// A random value other than 0. 64 bits make a repetition of an earlier process's value unlikely.
incarnation generate_incarnation()
{
    std::random_device device;
    return std::uniform_int_distribution<incarnation>{1}(device);
}

} // namespace

mesh_node::mesh_node(boost::asio::io_context& loop, mesh_settings initial_settings,
                     shared_store& store, fleet_view::decode_function decode)
    : context(loop),
      options(std::move(initial_settings)),
      memory(
          std::make_shared<memory_budget>(memory_budget::of_process(this->options.memory_bytes))),
      own_incarnation(generate_incarnation()),
      requests(loop, this->options.names, this->options.node, this->options.centre),
      runner(
          loop, this->options.names, this->options.retry_limit, this->options.memory_bytes,
          [this](const service_name& service) {
              return this->view.has_read_store() ? this->requests.directory.count_upstreams(service)
                                                 : 0;
          },
          this->requests.crashes),
      shared(store),
      registration(loop, store, this->options.keys, this->registration_callbacks()),
      departures(loop, store, this->options.keys, this->options.node, this->departure_callbacks()),
      crash_reports(loop, store, this->options.keys),
      view(loop, store, this->requests.directory, this->options.configuration_key,
           this->options.keys, this->view_callbacks(std::move(decode))),
      feed(loop, this->view),
      quota(loop, this->options.node, this->options.quota, this->quota_callbacks()),
      links(loop, {this->options.node, this->own_incarnation, this->options.peer_address},
            this->link_callbacks()),
      peers(loop, {this->options.node, this->own_incarnation, this->options.peer_address},
            this->peer_callbacks()),
      callers(loop, this->caller_callbacks()),
      stop_timer(loop)
{
    this->requests.set_sender(
        [this](const node_id& to, const link_message& message) { this->send(to, message); });
    this->requests.reconnect = [this](const node_id& node) {
        if (node != this->options.node) {
            this->links.reconnect(node);
        }
    };
    this->requests.on_nested_call_failed = [this] { this->runner.record_nested_call_failure(); };
    this->requests.retry_share_of_call = [this](std::string_view call_id) {
        return this->runner.retry_share_of_call(call_id);
    };
    this->runner.set_readiness([this] { return this->view.has_read_store(); });
    this->runner.set_cold_limit(
        [this](const service_name& service) { return this->cold_limit_of(service); });
    this->runner.set_rejection_view([this](const service_name& service) {
        return this->requests.rejections.is_service_wide(service, boot_clock::now());
    });
    this->runner.set_memory(this->memory);
    this->runner.on_change([this] { this->publish(); });
    this->runner.on_crash([this](const upstream_crash& crash) {
        this->requests.crashes.add(crash, boot_clock::now());
        this->crash_reports.publish(this->options.node, crash);
    });
    this->register_metrics();
}

fleet_view::callbacks mesh_node::view_callbacks(fleet_view::decode_function decode)
{
    fleet_view::callbacks functions;
    functions.decode_configuration = std::move(decode);
    functions.group_changed = [this](std::size_t group, const std::optional<std::string>& value,
                                     const store_position& changed_at) {
        this->registration.on_group_changed(group, value, changed_at);
    };
    functions.entry_written = [this](const node_id& node) {
        this->requests.selector.record_reachable(node);
    };
    functions.crash_reported = [this](const std::string& key, const std::string& value) {
        this->on_crash_reported(key, value);
    };
    functions.crash_report_lost = [this](const std::string& key, const std::string& value) {
        if (upstream_crash::from_text(value, key)) {
            const std::size_t rank = writer_rank(key, this->options.node, this->view.live_nodes());
            this->crash_reports.write_lost(key, value, rank);
        }
    };
    functions.evacuation_changed = [this](const data_centre& centre, bool is_evacuated) {
        if (centre == this->options.centre) {
            this->runner.set_evacuated(is_evacuated);
        }
    };
    functions.departures_read = [this](const node_id& node, const std::string& value,
                                       const store_position& at) {
        this->departures.on_stored(node, value, at);
        if (node == this->options.node) {
            this->runner.restore_departures(departed_lifetimes::from_text(value));
        }
    };
    functions.own_entry_lost = [this] { this->registration.on_entry_lost(); };
    functions.send = [this](const node_id& to, const link_message& message) {
        this->send(to, message);
    };
    functions.changed = [this] {
        this->runner.update_cold_state();
        this->feed.publish();
    };
    return functions;
}

node_registration::callbacks mesh_node::registration_callbacks()
{
    node_registration::callbacks functions;
    functions.group_lost = [this](std::size_t group) { this->quota.drop_group(group); };
    functions.live_nodes = [this] { return this->view.serving_nodes(); };
    functions.is_era_settled = [this] { return this->view.is_era_settled(); };
    functions.era_begun = [this] {
        this->crash_reports.publish_again();
        this->departures.begin_era();
    };
    return functions;
}

departure_recorder::callbacks mesh_node::departure_callbacks()
{
    departure_recorder::callbacks functions;
    functions.can_write = [this] {
        return this->view.has_read_era() && this->view.is_store_answering();
    };
    functions.live_nodes = [this] { return this->view.live_nodes(); };
    functions.is_reachable = [this](const node_id& node) {
        return !this->requests.selector.is_unreachable(node, boot_clock::now());
    };
    functions.send = [this](const node_id& to, const link_message& message) {
        this->send(to, message);
    };
    return functions;
}

quota_coordinator::callbacks mesh_node::quota_callbacks()
{
    quota_coordinator::callbacks functions;
    functions.find_group_holder = [this](std::size_t group) {
        return this->registration.group_holder(group);
    };
    functions.is_group_held = [this](std::size_t group) {
        return this->registration.holds_group(group);
    };
    functions.limit_of = [this](const organisation_id& organisation) {
        const auto table = this->view.configuration();
        const organisation_rule* rule =
            table == nullptr ? nullptr : table->find_organisation(organisation);
        return rule == nullptr ? organisation_limit{} : rule->limit;
    };
    functions.fleet_size = [this] { return this->requests.directory.size(); };
    functions.choose_relay = [this](const node_id& holder) {
        return this->choose_reachable_relay(holder);
    };
    functions.send = [this](const node_id& to, const link_message& message) {
        this->send(to, message);
    };
    return functions;
}

std::optional<node_id> mesh_node::choose_reachable_relay(const node_id& holder)
{
    std::vector<node_id> others;
    for (const node_id& node : this->view.live_nodes()) {
        if (node != holder && node != this->options.node &&
            !this->requests.selector.is_unreachable(node, boot_clock::now())) {
            others.push_back(node);
        }
    }
    if (others.empty()) {
        return std::nullopt;
    }
    return others[uniform_index(this->requests.random, others.size())];
}

link_table::callbacks mesh_node::link_callbacks()
{
    link_table::callbacks functions;
    functions.receive = [this](const node_id& from, link_message message) {
        this->receive(from, std::move(message));
    };
    functions.address_of = [this](const node_id& node) {
        const node_entry* entry = this->requests.directory.find(node);
        return entry == nullptr ? std::string{} : entry->address;
    };
    functions.open_runs = [this](const node_id& node) { return this->requests.open_runs(node); };
    functions.unreachable = [this](const node_id& node, const std::string&) {
        this->requests.on_unreachable(node);
    };
    functions.reachable = [this](const node_id& node) { this->requests.on_reachable(node); };
    functions.restarted = [this](const node_id& node) { this->requests.on_restarted(node); };
    functions.expects_traffic = [this](const node_id& node) {
        return this->requests.awaits_reply_from(node);
    };
    functions.memory = this->memory;
    return functions;
}

peer_listener::callbacks mesh_node::peer_callbacks()
{
    peer_listener::callbacks functions;
    functions.opened = [this](const node_id& from, const hello_message& hello,
                              const peer_listener::send_function& reply) {
        this->requests.selector.record_reachable(from);
        if (this->requests.directory.find(from) == nullptr) {
            node_entry entry;
            entry.node = from;
            entry.node_incarnation = hello.node_incarnation;
            entry.address = hello.address;
            this->requests.directory.put(entry);
        }
        this->runner.on_link_opened(from, hello, reply);
    };
    functions.receive = [this](const node_id& from, link_message message,
                               const peer_listener::send_function& reply) {
        this->on_peer_message(from, std::move(message), reply);
    };
    functions.closed = [this](const node_id& from) { this->runner.on_link_closed(from); };
    functions.memory = this->memory;
    functions.max_links = connection_limits::of_process(this->options.max_descriptors).links;
    return functions;
}

server_callbacks mesh_node::caller_callbacks()
{
    server_callbacks functions;
    functions.serve = [this](http_request request, time_point arrived, response_function answer) {
        return this->serve(std::move(request), arrived, std::move(answer));
    };
    functions.may_pipeline = [this](const request_head& head) {
        const auto table = this->view.configuration();
        const auto host = find_header(head.headers, "Host").value_or("");
        const route_rule* route = table == nullptr ? nullptr : table->match(host, head.target);
        return route != nullptr && route->is_repeatable();
    };
    functions.reject = [this](decode_state fault) {
        admission_refusal refused;
        if (fault == decode_state::header_too_large) {
            refused.reason = refusal_reason::header_too_large;
        }
        else if (fault == decode_state::body_too_large) {
            refused.reason = refusal_reason::body_too_large;
        }
        else if (fault == decode_state::memory_short) {
            refused.reason = refusal_reason::memory_short;
        }
        return this->refusal_response(refused);
    };
    functions.limits = [this] {
        const auto table = this->view.configuration();
        return table == nullptr ? caller_limits{} : table->limits();
    };
    functions.bounds = {this->memory,
                        connection_limits::of_process(this->options.max_descriptors).callers,
                        this->clients};
    return functions;
}

client_bounds mesh_node::other_port_bounds() const
{
    return {this->memory, connection_limits::of_process(this->options.max_descriptors).other_port,
            this->clients};
}

bool mesh_node::start()
{
    if (!this->peers.listen(this->options.peer_address) ||
        !this->callers.listen(this->options.caller_address)) {
        return false;
    }
    const node_entry own = this->own_entry();
    this->requests.directory.put(own);
    this->registration.start(own, this->options.is_first_start);
    this->view.start(own, this->options.is_first_start ? read_freshness::may_be_stale
                                                       : read_freshness::newest);
    return true;
}

node_entry mesh_node::own_entry() const
{
    node_entry own;
    own.node = this->options.node;
    own.node_incarnation = this->own_incarnation;
    own.address = this->options.peer_address;
    own.centre = this->options.centre;
    own.report_address = this->options.report_address;
    if (const auto serving = this->runner.available_upstream()) {
        own.service = serving->service;
        own.slots = serving->slots;
    }
    return own;
}

cold_limit mesh_node::cold_limit_of(const service_name& service) const
{
    cold_limit limit = this->options.cold_tolerance;
    if (const auto table = this->view.configuration()) {
        const cold_rule rule = table->cold_rule_of(service);
        limit.requests_per_second = rule.requests_per_second;
        limit.cold_time = rule.cold_time;
    }
    return limit;
}

void mesh_node::apply(const mesh_settings& changed)
{
    this->options.quota = changed.quota;
    this->options.retry_limit = changed.retry_limit;
    this->options.cold_tolerance = changed.cold_tolerance;
    this->options.max_proof_age = changed.max_proof_age;
    this->options.stop_timeout = changed.stop_timeout;
    this->quota.set_tolerance(changed.quota);
    this->runner.set_retry_limit(changed.retry_limit);
}

node_report mesh_node::report() const
{
    const time_point now = boot_clock::now();
    node_report report = make_report(this->view.status(now), this->settings_in_force, now);
    const node_entry own = this->own_entry();
    report.node = own.node;
    report.centre = own.centre;
    report.service = own.service;
    report.is_ready = this->is_ready();
    report.is_stopping = this->stop_started_at != time_point{};
    return report;
}

void mesh_node::publish()
{
    const node_entry own = this->own_entry();
    this->requests.directory.put(own);
    this->registration.publish(own);
    this->departures.publish(this->runner.departures());
}

std::optional<std::int64_t> mesh_node::departed_start(const std::string& id) const
{
    const departed_lifetimes departed = this->runner.departures();
    const auto found = departed.all().find(id);
    return found == departed.all().end() ? std::nullopt : std::optional{found->second};
}

void mesh_node::on_crash_reported(const std::string& key, const std::string& value)
{
    const auto crash = upstream_crash::from_text(value, key);
    if (!crash) {
        log_line{"crash_entry_rejected"}.add("key", key).add("detail", last_failure().detail);
        return;
    }
    this->crash_reports.on_stored(key);
    this->requests.crashes.add(*crash, boot_clock::now());
}

bool mesh_node::is_ready() const
{
    return this->stop_started_at == time_point{} && this->view.configuration() != nullptr;
}

std::shared_ptr<served_request> mesh_node::serve(http_request request, time_point arrived,
                                                 response_function answer)
{
    this->requests.counters.count_request();
    const time_point now = boot_clock::now();
    admission_context inputs;
    inputs.table = this->view.configuration();
    inputs.is_current = this->view.proof().is_recent(now, max_current_proof_age);
    inputs.may_trust_keys = this->view.proof().is_recent(now, this->options.max_proof_age);
    inputs.is_stopping =
        this->is_ending || (this->stop_started_at != time_point{} &&
                            now > this->stop_started_at + refuse_new_requests_after);
    inputs.caller_service = this->options.caller_service;
    auto result =
        admit(std::move(request), arrived, inputs, this->options.names, this->requests.random);
    if (const auto* refused = std::get_if<admission_refusal>(&result)) {
        answer(this->refusal_response(*refused));
        return nullptr;
    }
    const auto dispatched = std::make_shared<dispatched_request>(
        this->requests, this->quota, std::get<admitted_request>(std::move(result)),
        std::move(answer));
    dispatched->start();
    return dispatched;
}

http_response mesh_node::refusal_response(const admission_refusal& refused)
{
    const refusal_description& description = describe(refused.reason);
    this->requests.counters.count_refusal(refused.reason);
    const auto proof_age = boot_clock::now() - this->view.proof().as_of();
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
        body.retry_after = unavailable_retry_after;
    }
    http_response answer;
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
    // Messages to this node itself are posted to the handlers of peer messages, without a link.
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
    else if (const auto* follow_reply = std::get_if<follow_reply_message>(&message)) {
        this->view.receive(from, *follow_reply);
    }
    else if (const auto* departed = std::get_if<departure_message>(&message)) {
        this->departures.receive(from, *departed, [](const link_message&) {});
    }
    else {
        this->requests.receive(from, message);
    }
}

void mesh_node::on_peer_message(const node_id& from, link_message message,
                                const upstream_runner::reply_function& reply)
{
    if (const auto* query = std::get_if<quota_request_message>(&message)) {
        this->quota.handle_query(*query, reply);
    }
    else if (const auto* returned = std::get_if<quota_refund_message>(&message)) {
        this->quota.handle_refund(*returned);
    }
    else if (const auto* departed = std::get_if<departure_message>(&message)) {
        this->departures.receive(from, *departed, reply);
    }
    else if (const auto* poll = std::get_if<follow_message>(&message)) {
        this->view.note_follower(from, *poll);
        this->feed.poll(from, *poll, reply);
    }
    else {
        this->runner.receive(from, std::move(message), reply);
    }
}

void mesh_node::stop(std::function<void()> stopped)
{
    if (this->stop_started_at != time_point{}) {
        return;
    }
    log_line{"stopping"}
        .add("open_requests", this->callers.open_requests())
        .add("running", this->runner.busy_slot_count());
    this->stopped_callback = std::move(stopped);
    this->stop_started_at = boot_clock::now();
    this->stop_deadline = this->stop_started_at + this->options.stop_timeout;
    this->requests.stop_at = this->stop_deadline;
    this->callers.begin_stop();
    this->runner.begin_stop();
    this->requests.directory.put(this->own_entry());
    this->registration.begin_stop();
    this->check_stop();
}

void mesh_node::check_stop()
{
    const time_point now = boot_clock::now();
    const bool is_idle = this->callers.open_requests() == 0 &&
                         this->runner.busy_slot_count() == 0 &&
                         !this->runner.has_undelivered_outcome(now);
    const bool may_end =
        is_idle && now > this->stop_started_at + min_stop_time && !this->callers.has_unread_input();
    if (may_end || now > this->stop_deadline) {
        this->finish_stop();
        return;
    }
    this->stop_timer.expires_after(stop_check_interval);
    this->stop_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            this->check_stop();
        }
    });
}

void mesh_node::finish_stop()
{
    this->is_ending = true;
    log_line{"stopped"}
        .add("open_requests", this->callers.open_requests())
        .add("running", this->runner.busy_slot_count());
    this->callers.answer_open_requests();
    this->runner.fail_open_runs();
    this->registration.finish_stop();
    this->departures.stop();
    this->view.stop();
    this->feed.stop();
    this->links.finish_all();
    this->peers.finish();
    this->stop_timer.expires_after(flush_time);
    this->stop_timer.async_wait([this](const boost::system::error_code&) {
        this->callers.close();
        this->links.close_all();
        this->peers.close();
        this->stopped_callback();
    });
}

void mesh_node::register_metrics()
{
    metrics& counters = this->requests.counters;
    counters.add_metric_callback(
        "running", "gauge", [this] { return static_cast<double>(this->runner.busy_slot_count()); });
    counters.add_metric_callback(
        "waiting", "gauge", [this] { return static_cast<double>(this->runner.queued_count()); });
    counters.add_metric_callback("slots", "gauge",
                                 [this] { return static_cast<double>(this->runner.slot_count()); });
    counters.add_metric_callback("upstream_runs_total", "counter",
                                 [this] { return static_cast<double>(this->runner.runs_sent()); });
    counters.add_metric_callback("rejected_at_door_total", "counter", [this] {
        return static_cast<double>(this->requests.rejected_at_door);
    });
    counters.add_metric_callback("late_starts_total", "counter", [this] {
        return static_cast<double>(this->requests.late_starts);
    });
    counters.add_metric_callback("upstream_connections_total", "counter", [this] {
        return static_cast<double>(this->runner.connections_opened());
    });
    counters.add_metric_callback("foreign_responses_total", "counter", [this] {
        return static_cast<double>(this->runner.foreign_responses());
    });
    counters.add_metric_callback("configuration_revision", "gauge", [this] {
        return static_cast<double>(this->view.status(boot_clock::now()).revision);
    });
    counters.add_metric_callback("configuration_proof_age_seconds", "gauge", [this] {
        const std::chrono::duration<double> age = boot_clock::now() - this->view.proof().as_of();
        return age.count();
    });
    counters.add_metric_callback("store_era", "gauge",
                                 [this] { return static_cast<double>(this->shared.era()); });
    counters.add_metric_callback("quota_groups_held", "gauge", [this] {
        double held = 0;
        for (std::size_t group = 0; group < quota_group_count; ++group) {
            held += this->registration.holds_group(group) ? 1 : 0;
        }
        return held;
    });
    counters.add_metric_callback("store_era_changes_total", "counter", [this] {
        return static_cast<double>(this->shared.eras().rise_count());
    });
    counters.add_metric_callback("store_answers_outdated_total", "counter", [this] {
        return static_cast<double>(this->shared.eras().outdated_count());
    });
    counters.add_metric_callback("settings_reloads_total", "counter", [this] {
        return static_cast<double>(this->settings_in_force.reloads);
    });
    counters.add_metric_callback("settings_rejections_total", "counter", [this] {
        return static_cast<double>(this->settings_in_force.rejections);
    });
    counters.add_metric_callback("settings_file_rejected", "gauge", [this] {
        return this->settings_in_force.rejection.empty() ? 0.0 : 1.0;
    });
    counters.add_metric_callback("evacuated_data_centres", "gauge", [this] {
        return static_cast<double>(this->requests.directory.evacuations().all().size());
    });
    counters.add_metric_callback("evacuation_declines_total", "counter", [this] {
        return static_cast<double>(this->runner.evacuation_declines());
    });
    counters.add_metric_callback("upstream_cold", "gauge", [this] {
        return this->runner.is_cold(boot_clock::now()) ? 1.0 : 0.0;
    });
    counters.add_metric_callback("cold_limit_waits_total", "counter", [this] {
        return static_cast<double>(this->runner.cold_limit_waits());
    });
    counters.add_metric_callback("known_nodes", "gauge", [this] {
        return static_cast<double>(this->requests.directory.size());
    });
    counters.add_metric_callback("log_lines_left_out_total", "counter",
                                 [] { return static_cast<double>(log_lines_dropped()); });
    this->register_client_metrics();
}

void mesh_node::register_client_metrics()
{
    metrics& counters = this->requests.counters;
    counters.add_metric_callback("memory_reserved_bytes", "gauge",
                                 [this] { return static_cast<double>(this->memory->reserved()); });
    counters.add_metric_callback("upstream_body_bytes", "gauge", [this] {
        return static_cast<double>(this->runner.held_body_bytes());
    });
    counters.add_metric_callback("memory_budget_bytes", "gauge",
                                 [this] { return static_cast<double>(this->memory->capacity()); });
    counters.add_metric_callback("memory_refusals_total", "counter",
                                 [this] { return static_cast<double>(this->memory->refusals()); });
    counters.add_metric_callback("links_over_limit_total", "counter", [this] {
        return static_cast<double>(this->peers.links_over_limit());
    });
    const auto add = [&](const char* name, std::uint64_t client_counters::*counter) {
        counters.add_metric_callback(name, "counter", [this, counter] {
            return static_cast<double>((*this->clients).*counter);
        });
    };
    add("connections_closed_for_room_total", &client_counters::closed_for_room);
    add("connections_refused_total", &client_counters::refused_connections);
    add("slow_requests_total", &client_counters::slow_requests);
    add("requests_refused_for_memory_total", &client_counters::refused_for_memory);
    add("rejected_input_total", &client_counters::rejected_input);
    add("slow_readers_total", &client_counters::slow_readers);
}

} // namespace dragonflyroad
