#include "membership/gossip_queue.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflyroad {
namespace {

/// Reports older than this are neither forwarded nor remembered: crashes are relevant for 60 s,
/// verdicts for less.
constexpr duration report_lifetime = std::chrono::seconds{60};

} // namespace

std::size_t retransmissions(double factor, std::size_t fleet_size)
{
    const double times = factor * std::log2(static_cast<double>(fleet_size) + 1);
    return std::max<std::size_t>(2, static_cast<std::size_t>(std::ceil(times)));
}

gossip_queue::gossip_queue(gossip_settings settings) : limits(settings) {}

void gossip_queue::push(const upstream_record& record)
{
    this->upstreams.push(record.upstream, record, {}, this->limits.max_waiting);
}

void gossip_queue::push(const peer_descriptor& descriptor)
{
    this->descriptors.push(descriptor.node, descriptor, {}, this->limits.max_waiting);
}

void gossip_queue::push(const suspicion& suspected)
{
    this->suspicions.push(suspected.node_incarnation, suspected, {}, this->limits.max_waiting);
}

void gossip_queue::withdraw_suspicion(incarnation node_incarnation)
{
    this->suspicions.erase(node_incarnation);
}

bool gossip_queue::push_if_new(const crash_report& report, time_point now)
{
    if (report.age > report_lifetime) {
        return false;
    }
    this->expire_reports(now);
    const time_point as_of = now - report.age;
    const crash_key key{report.fingerprint, report.upstream};
    const auto [known, inserted] = this->known_crashes.try_emplace(key, as_of);
    if (!inserted) {
        if (as_of < known->second + this->limits.repeat_interval) {
            return false;
        }
        known->second = as_of;
    }
    this->crashes.push(key, report, as_of, this->limits.max_waiting);
    return true;
}

bool gossip_queue::push_if_new(const ejection_report& report, time_point now)
{
    if (report.age > report_lifetime) {
        return false;
    }
    this->expire_reports(now);
    const time_point as_of = now - report.age;
    const ejection_key key{report.upstream, report.reporter};
    const auto [known, inserted] =
        this->known_ejections.try_emplace(key, known_verdict{report.verdict, as_of});
    if (!inserted) {
        const bool repeated = known->second.verdict == report.verdict;
        const duration needed = repeated ? this->limits.repeat_interval : duration{1};
        if (as_of < known->second.as_of + needed) {
            return false;
        }
        known->second = {report.verdict, as_of};
    }
    this->ejections.push(key, report, as_of, this->limits.max_waiting);
    return true;
}

void gossip_queue::expire_reports(time_point now)
{
    if (now < this->next_expiry) {
        return;
    }
    this->next_expiry = now + report_lifetime;
    std::erase_if(this->known_crashes,
                  [now](const auto& known) { return known.second + report_lifetime < now; });
    std::erase_if(this->known_ejections,
                  [now](const auto& known) { return known.second.as_of + report_lifetime < now; });
}

void gossip_queue::fill(message_body& body, std::size_t fleet_size, time_point now)
{
    const std::size_t times = retransmissions(this->limits.retransmit_factor, fleet_size);
    for (auto& next : this->upstreams.take_next(this->limits.upstreams, times)) {
        body.upstreams.push_back(std::move(next.entry));
    }
    for (auto& next : this->descriptors.take_next(this->limits.descriptors, times)) {
        body.descriptors.push_back(std::move(next.entry));
    }
    for (auto& next : this->suspicions.take_next(this->limits.suspicions, times)) {
        body.suspicions.push_back(next.entry);
    }
    for (auto& next : this->crashes.take_next(this->limits.crashes, times)) {
        next.entry.age = now - next.as_of;
        body.crashes.push_back(std::move(next.entry));
    }
    for (auto& next : this->ejections.take_next(this->limits.ejections, times)) {
        next.entry.age = now - next.as_of;
        body.ejections.push_back(std::move(next.entry));
    }
}

bool gossip_queue::empty() const
{
    return this->upstreams.empty() && this->descriptors.empty() && this->suspicions.empty() &&
           this->crashes.empty() && this->ejections.empty();
}

} // namespace dragonflyroad
