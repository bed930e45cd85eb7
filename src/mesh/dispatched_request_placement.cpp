#include "adapters/log.hpp"
#include "mesh/dispatched_request.hpp"

namespace dragonflyroad {

using milliseconds = std::chrono::milliseconds;

bool dispatched_request::is_same_centre(const node_id& vm) const
{
    const node_entry* entry = this->owner.directory.find(vm);
    return entry != nullptr && entry->centre == this->owner.centre;
}

bool dispatched_request::is_excluded(const node_id& vm) const
{
    return this->reservations.contains(vm) || this->declined.contains(vm) ||
           this->released_vms.contains(vm);
}

double dispatched_request::response_size() const
{
    return this->owner.run_time_means.response_size(this->accepted.service,
                                                    this->accepted.route.name);
}

double dispatched_request::placement_cost(const node_id& vm, const upstream_load_report& load) const
{
    if (load.slots == 0) {
        return 0;
    }
    return offer_load_cost(load) +
           (this->is_same_centre(vm) ? 0 : other_centre_cost(this->response_size()));
}

void dispatched_request::log_dispatch(const node_id& vm, const reservation& offer,
                                      time_point now) const
{
    log_line line{"dispatch"};
    line.add("request", this->accepted.id)
        .add("service", this->accepted.service.value)
        .add("vm", vm.value)
        .add("cost_ms", offer.cost.count())
        .add("waited_ms", milliseconds_between(this->accepted.arrived, now).count())
        .add("asked", this->reservations.size() + this->declined.size())
        .add("run", this->runs_started)
        .add("same_centre", this->is_same_centre(vm) ? 1 : 0);
    if (offer.load.slots > 0) {
        const auto age = this->owner.loads.report_age(vm, now);
        line.add("busy", offer.load.busy)
            .add("slots", offer.load.slots)
            .add("report_age_ms", age.value_or(milliseconds{0}).count());
    }
}

} // namespace dragonflyroad
