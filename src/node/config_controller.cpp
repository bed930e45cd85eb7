#include "node/config_controller.hpp"

#include "adapters/log.hpp"
#include "core/failure.hpp"
#include "node/head_reader.hpp"

#include <utility>

namespace dragonflyroad {
namespace {

constexpr std::chrono::seconds watch_time{2};
constexpr std::chrono::milliseconds retry_pause{500};

} // namespace

config_controller::config_controller(std::shared_ptr<store> store_client, blackboard& target)
    : source(std::move(store_client)), board(target)
{
}

duration config_controller::follow()
{
    const auto head =
        this->source->watch(config_head_key, this->version, boot_clock::now() + watch_time);
    if (!head) {
        log_line{"config_unread"}.add("detail", last_failure().detail);
        return retry_pause;
    }
    if (head->version == this->version) {
        return duration::zero();
    }
    this->version = head->version;
    auto config = read_configuration(head->bytes);
    if (!config) {
        log_line{"config_refused"}.add("detail", last_failure().detail);
        return retry_pause;
    }
    if (config->revision > this->board.config.read()->revision) {
        log_line{"config_adopted"}.add("revision", config->revision);
        const std::scoped_lock lock{this->mutex};
        this->board.config.publish(std::move(*config));
        this->published.notify_all();
    }
    return duration::zero();
}

bool config_controller::wait_for_revision(revision_number revision, time_point deadline)
{
    std::unique_lock lock{this->mutex};
    return this->published.wait_for(lock, deadline - boot_clock::now(), [&] {
        return this->board.config.read()->revision >= revision;
    });
}

} // namespace dragonflyroad
