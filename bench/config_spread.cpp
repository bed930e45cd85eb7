#include "bench/config_spread.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad::bench {
namespace {

/// Time from a change until the store answers a watch.
constexpr duration store_delay = std::chrono::milliseconds{5};
/// Minimum retransmission timeout of Linux TCP; delays a fetch after a lost packet.
constexpr duration retransmission_timeout = std::chrono::milliseconds{200};
constexpr std::size_t watchers_per_data_centre = 2;

} // namespace

config_spread::config_spread(const fleet_shape& shape, std::uint64_t seed) : fleet(shape, seed)
{
    this->fleet.on_membership_update = [this](std::size_t node, const membership_update& news) {
        if (!news.from.empty() && news.revision > this->fleet.members[node].revision) {
            this->fetch(node, this->fleet.index_of(news.from), news.revision);
        }
    };
    this->fleet.run_until(this->fleet.now + std::chrono::seconds{3});
}

duration config_spread::exchange_time(std::size_t node, std::size_t from)
{
    // The connection handshake and the call take one round trip each. A lost packet of the
    // handshake is sent again after 1 s, one of the call after the retransmission timeout.
    duration time = 4 * this->fleet.delay(node, from);
    for (int packet = 0; packet < 4; ++packet) {
        if (uniform(this->fleet.random) < this->fleet.shape.loss) {
            time += packet < 2 ? std::chrono::seconds{1} : retransmission_timeout;
        }
    }
    return time;
}

void config_spread::fetch(std::size_t node, std::size_t from, revision_number revision)
{
    if (!this->fetching.emplace(node, revision).second) {
        return;
    }
    this->fleet.at(this->fleet.now + this->exchange_time(node, from), [this, node, revision] {
        this->fetching.erase({node, revision});
        if (revision <= this->fleet.members[node].revision) {
            return;
        }
        this->fleet.set_revision(node, revision);
        if (revision == this->latest && --this->missing == 0) {
            this->completed = this->fleet.now;
        }
    });
}

double config_spread::measure_change(std::uint64_t seed, double timeout_seconds)
{
    this->fleet.random.seed(seed);
    ++this->latest;
    this->missing = 0;
    this->completed = time_point::max();
    const time_point accepted = this->fleet.now;
    std::vector<std::size_t> watching(this->fleet.shape.data_centres, 0);
    for (std::size_t node = 0; node < this->fleet.members.size(); ++node) {
        const auto& member = this->fleet.members[node];
        this->missing += member.stopped ? 0U : 1U;
        if (!member.stopped && !this->cut_off.contains(member.data_centre) &&
            watching[member.data_centre]++ < watchers_per_data_centre) {
            this->fleet.at(accepted + store_delay,
                           [this, node] { this->fetch(node, node, this->latest); });
        }
    }
    const time_point end = accepted + std::chrono::duration_cast<duration>(
                                          std::chrono::duration<double>(timeout_seconds));
    while (this->completed == time_point::max() && this->fleet.now < end) {
        this->fleet.run_until(this->fleet.now + std::chrono::milliseconds{10});
    }
    return std::chrono::duration<double>(std::min(this->completed, end) - accepted).count();
}

} // namespace dragonflyroad::bench
