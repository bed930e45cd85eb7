#include "membership/pending_pings.hpp"

namespace dragonflyroad {

void pending_pings::add(std::uint64_t nonce, const node_id& node, time_point now)
{
    this->by_nonce.emplace(nonce, pending_ping{node, now, false});
}

std::optional<pending_ping> pending_pings::acknowledge(std::uint64_t nonce)
{
    const auto found = this->by_nonce.find(nonce);
    if (found == this->by_nonce.end()) {
        return std::nullopt;
    }
    found->second.resolved = true;
    return found->second;
}

std::vector<pending_ping> pending_pings::resolve_overdue(time_point sent_before)
{
    std::vector<pending_ping> overdue;
    for (auto& [nonce, ping] : this->by_nonce) {
        if (!ping.resolved && ping.sent_at <= sent_before) {
            ping.resolved = true;
            overdue.push_back(ping);
        }
    }
    return overdue;
}

void pending_pings::resolve_all()
{
    for (auto& [nonce, ping] : this->by_nonce) {
        ping.resolved = true;
    }
}

void pending_pings::remove_sent_before(time_point time)
{
    // Nonces increase over time, so the oldest pings come first.
    while (!this->by_nonce.empty() && this->by_nonce.begin()->second.sent_at < time) {
        this->by_nonce.erase(this->by_nonce.begin());
    }
}

} // namespace dragonflyroad
