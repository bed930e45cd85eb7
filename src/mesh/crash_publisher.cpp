#include "mesh/crash_publisher.hpp"

#include "adapters/log.hpp"
#include "core/digest.hpp"
#include "core/failure.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

namespace dragonflyroad {
namespace {

using namespace std::chrono_literals;

/// How long the store keeps a crash, for nodes that start later. The store's leases last at most
/// ten minutes.
constexpr std::chrono::minutes crash_time_to_live = 10min;

/// Pause after a failed call, and the time after which the crash stays known to this node only. A
/// request that still comes by then crashes other upstreams, which are reported anew.
constexpr std::chrono::milliseconds retry_pause = 500ms;
constexpr std::chrono::seconds give_up_after = 30s;

/// Delay of the write of a lost report by a node that did not make it, and how much each further
/// node waits, so that usually one of them writes it.
constexpr std::chrono::milliseconds lost_report_delay = 300ms;
constexpr std::chrono::milliseconds delay_per_rank = 150ms;
constexpr std::size_t last_rank = 6;

/// Number of crashes that are written again in a new era of the store. Each takes two writes.
constexpr std::size_t max_recent_crashes = 16;

} // namespace

crash_publisher::crash_publisher(boost::asio::io_context& loop, shared_store& platform_store,
                                 fleet_keys store_keys)
    : context(loop), store(platform_store), keys(std::move(store_keys))
{
}

void crash_publisher::publish(const node_id& node, const upstream_crash& crash)
{
    const auto unwritten = std::make_shared<entry>();
    // The lifetime is hashed since keys are limited to 200 bytes.
    unwritten->key = this->keys.crash(
        fmt::format("{:016x}", stable_hash(crash.lifetime, stable_hash(node.value))));
    unwritten->value = crash.to_text();
    unwritten->published_at = boot_clock::now();
    unwritten->give_up_at = unwritten->published_at + give_up_after;
    this->recent.push_back(unwritten);
    if (this->recent.size() > max_recent_crashes) {
        this->recent.pop_front();
    }
    this->request_lease(unwritten);
}

void crash_publisher::publish_again()
{
    const time_point now = boot_clock::now();
    std::erase_if(this->recent, [&](const std::shared_ptr<entry>& known) {
        return now > known->published_at + crash_time_to_live;
    });
    for (const auto& known : this->recent) {
        known->give_up_at = now + give_up_after;
        this->request_lease(known);
    }
}

void crash_publisher::request_lease(const std::shared_ptr<entry>& unwritten)
{
    this->store.grant_lease(crash_time_to_live,
                            [this, unwritten](std::optional<lease_grant> grant) {
                                if (grant) {
                                    this->write(unwritten, grant->lease, this->store.era());
                                    return;
                                }
                                this->retry_later(unwritten);
                            });
}

void crash_publisher::write(const std::shared_ptr<entry>& unwritten, store_lease lease,
                            store_era granted_in)
{
    commit_request request;
    request.writes.push_back({unwritten->key, unwritten->value, lease});
    this->store.commit(request, [this, unwritten, granted_in](commit_outcome outcome) {
        // The lease's number may belong to another node in a later era.
        if (outcome != commit_outcome::committed || granted_in != this->store.era()) {
            this->retry_later(unwritten);
        }
    });
}

void crash_publisher::retry_later(const std::shared_ptr<entry>& unwritten)
{
    if (boot_clock::now() > unwritten->give_up_at) {
        log_line{"crash_not_published"}
            .add("key", unwritten->key)
            .add("detail", last_failure().detail);
        return;
    }
    this->request_lease_after(unwritten, retry_pause);
}

void crash_publisher::request_lease_after(const std::shared_ptr<entry>& unwritten,
                                          std::chrono::milliseconds pause)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->context, pause);
    timer->async_wait([this, timer, unwritten](const boost::system::error_code& error) {
        if (!error && (!unwritten->was_lost || this->lost.contains(unwritten->key))) {
            this->request_lease(unwritten);
        }
    });
}

void crash_publisher::write_lost(const std::string& key, const std::string& value, std::size_t rank)
{
    if (std::ranges::find(this->recent, key, &entry::key) != this->recent.end()) {
        // publish_again() writes the reports of this node.
        return;
    }
    this->lost.insert(key);
    const auto unwritten = std::make_shared<entry>();
    unwritten->key = key;
    unwritten->value = value;
    unwritten->was_lost = true;
    unwritten->published_at = boot_clock::now();
    unwritten->give_up_at = unwritten->published_at + give_up_after;
    this->request_lease_after(
        unwritten,
        lost_report_delay + delay_per_rank * static_cast<std::int64_t>(std::min(rank, last_rank)));
}

} // namespace dragonflyroad
