#pragma once

#include "adapters/store.hpp"
#include "node/blackboard.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>

namespace dragonflyroad {

/// Follows the configuration in the store and publishes it on the blackboard.
class config_controller {
public:
    config_controller(std::shared_ptr<store> source, blackboard& board);

    /// Waits for a change and publishes it; returns how long to pause before the next call.
    duration follow();

    /// Waits until a configuration of at least that revision is published.
    bool wait_for_revision(revision_number revision, time_point deadline);

private:
    std::shared_ptr<store> source;
    blackboard& board;
    std::uint64_t version = 0;
    std::mutex mutex;
    std::condition_variable published;
};

/// The key of the configuration in the store.
constexpr const char* config_head_key = "config/head";

} // namespace dragonflyroad
