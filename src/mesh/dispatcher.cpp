#include "mesh/dispatcher.hpp"

#include "mesh/dispatched_request.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace dragonflyroad {

dispatcher::dispatcher(boost::asio::io_context& loop, const header_names& header_set, node_id node,
                       data_centre own_centre)
    : context(loop),
      names(header_set),
      self(std::move(node)),
      centre(std::move(own_centre)),
      random(std::random_device{}())
{
    this->counters.add_metric_callback("dispatches_same_centre_total", "counter", [this] {
        return static_cast<double>(this->same_centre_dispatches);
    });
    this->counters.add_metric_callback("dispatches_other_centre_total", "counter", [this] {
        return static_cast<double>(this->other_centre_dispatches);
    });
}

run_id dispatcher::register_round(const std::shared_ptr<dispatched_request>& request)
{
    const run_id id = this->allocate_id();
    this->rounds[id] = request;
    return id;
}

std::shared_ptr<dispatched_request> dispatcher::find(run_id id) const
{
    const auto found = this->rounds.find(id);
    return found == this->rounds.end() ? nullptr : found->second.lock();
}

std::vector<std::shared_ptr<dispatched_request>> dispatcher::requests() const
{
    std::vector<std::shared_ptr<dispatched_request>> open;
    for (const auto& [id, weak] : this->rounds) {
        const auto request = weak.lock();
        if (request != nullptr && std::ranges::find(open, request) == open.end()) {
            open.push_back(request);
        }
    }
    return open;
}

void dispatcher::receive(const node_id& from, const link_message& message)
{
    std::visit(
        [&](const auto& typed) {
            if constexpr (requires { typed.load; }) {
                this->loads.record(from, typed.load, boot_clock::now());
            }
            if constexpr (requires(dispatched_request & request) {
                              request.receive(from, typed);
                          }) {
                if (const auto request = this->find(typed.id)) {
                    request->receive(from, typed);
                }
            }
        },
        message);
}

void dispatcher::on_unreachable(const node_id& node)
{
    this->selector.record_unreachable(node, boot_clock::now());
    for (const auto& request : this->requests()) {
        request->on_unreachable(node);
    }
}

void dispatcher::on_reachable(const node_id& node)
{
    for (const auto& request : this->requests()) {
        request->on_reachable(node);
    }
}

void dispatcher::on_restarted(const node_id& node)
{
    for (const auto& request : this->requests()) {
        request->on_restarted(node);
    }
}

std::vector<run_id> dispatcher::open_runs(const node_id& node) const
{
    std::vector<run_id> open;
    for (const auto& [id, weak] : this->rounds) {
        const auto request = weak.lock();
        if (request != nullptr && request->is_running(id, node)) {
            open.push_back(id);
        }
    }
    return open;
}

bool dispatcher::awaits_reply_from(const node_id& node) const
{
    return std::ranges::any_of(this->rounds, [&](const auto& item) {
        const auto request = item.second.lock();
        return request != nullptr && request->awaits_reply_from(node);
    });
}

} // namespace dragonflyroad
