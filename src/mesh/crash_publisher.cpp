#include "mesh/crash_publisher.hpp"

#include "adapters/log.hpp"
#include "core/digest.hpp"
#include "core/failure.hpp"

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
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->context, retry_pause);
    timer->async_wait([this, timer, unwritten](const boost::system::error_code& error) {
        if (!error) {
            this->request_lease(unwritten);
        }
    });
}

} // namespace dragonflyroad
