#include "request_probe.hpp"

#include <algorithm>
#include <variant>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

constexpr double organisation_rate = 100;

quota_coordinator::callbacks quota_callbacks(dispatcher& shared)
{
    quota_coordinator::callbacks functions;
    functions.find_group_holder = [](std::size_t) { return node_id{"keeper"}; };
    functions.is_group_held = [](std::size_t) { return false; };
    functions.limit_of = [](const organisation_id&) {
        return organisation_limit{organisation_rate, organisation_rate};
    };
    functions.fleet_size = [] { return std::size_t{1}; };
    functions.choose_relay = [](const node_id&) { return std::nullopt; };
    functions.send = [&shared](const node_id& to, const link_message& message) {
        shared.send(to, message);
    };
    return functions;
}

} // namespace

request_probe::request_probe(std::size_t vms)
    : shared(this->context, this->names, node_id{"self"}, data_centre{"ikeja"}),
      quota(this->context, node_id{"self"}, quota_tolerance{}, quota_callbacks(this->shared))
{
    this->shared.set_sender([this](const node_id& to, const link_message& message) {
        this->sent.emplace_back(to, message);
    });
    this->shared.reconnect = [this](const node_id& vm) { this->reconnected.push_back(vm); };
    this->shared.on_nested_call_failed = [] {};
    for (std::size_t index = 0; index < vms; ++index) {
        node_entry entry;
        entry.node = node_id{"vm-" + std::to_string(index)};
        entry.service = service_name{"books"};
        entry.centre = data_centre{"ikeja"};
        entry.slots = 2;
        this->shared.directory.put(entry);
    }
}

void request_probe::start(const std::string& method, bool has_quota,
                          std::chrono::milliseconds callers_time)
{
    admitted_request accepted;
    accepted.id = "request-1";
    accepted.request.head.method = method;
    accepted.route.name = route_name{"books"};
    accepted.route.kind = method == "GET" ? repeatability::repeatable : repeatability::at_most_once;
    accepted.route.latency_objective = 2s;
    accepted.route.max_attempts = 2;
    accepted.service = service_name{"books"};
    accepted.organisation = organisation_id{"council"};
    accepted.needs_quota = has_quota;
    accepted.arrived = boot_clock::now();
    accepted.deadline = accepted.arrived + callers_time;
    accepted.caller_deadline = accepted.deadline;
    this->request = std::make_shared<dispatched_request>(
        this->shared, this->quota, std::move(accepted),
        [this](http_response given) { this->answer = std::move(given); });
    this->request->start();
}

void request_probe::admit()
{
    for (const auto& [node, message] : this->sent) {
        if (const auto* asked = std::get_if<quota_request_message>(&message)) {
            this->quota.receive(quota_reply_message{asked->id, true, true, 0ms});
            return;
        }
    }
}

reserve_message request_probe::last_terms(const node_id& vm) const
{
    reserve_message last;
    for (const auto& [node, message] : this->sent) {
        const auto* terms = std::get_if<reserve_message>(&message);
        if (node == vm && terms != nullptr) {
            last = *terms;
        }
    }
    return last;
}

void request_probe::offer(const node_id& vm, std::chrono::milliseconds cost,
                          const upstream_load_report& load)
{
    this->shared.receive(vm,
                         reservation_accepted_message{this->last_terms(vm).id, true, cost, load});
}

void request_probe::wait_at(const node_id& vm, std::chrono::milliseconds wait)
{
    this->shared.receive(vm, reservation_accepted_message{this->last_terms(vm).id, false, wait});
}

void request_probe::decline(const node_id& vm, decline_reason reason)
{
    this->shared.receive(vm, reservation_declined_message{this->last_terms(vm).id, reason, 500ms});
}

void request_probe::fail(const node_id& vm)
{
    response_message failed;
    failed.id = this->last_terms(vm).id;
    failed.status = 500;
    this->shared.receive(vm, failed);
}

void request_probe::answer_run(const node_id& vm)
{
    for (const auto& [node, message] : std::vector{this->sent}) {
        const auto* run = std::get_if<run_message>(&message);
        if (node == vm && run != nullptr) {
            response_message response;
            response.id = run->id;
            response.status = 200;
            this->shared.receive(vm, response);
            return;
        }
    }
}

std::size_t request_probe::reconnects(const node_id& vm) const
{
    return static_cast<std::size_t>(std::ranges::count(this->reconnected, vm));
}

void request_probe::lose_link(const node_id& vm)
{
    this->shared.on_unreachable(vm);
}

void request_probe::pass(std::chrono::milliseconds time)
{
    this->context.restart();
    this->context.run_for(time);
}

bool request_probe::pass_until(const std::function<bool()>& condition)
{
    const time_point end = boot_clock::now() + 2s;
    while (!condition() && boot_clock::now() < end) {
        this->pass(5ms);
    }
    return condition();
}
