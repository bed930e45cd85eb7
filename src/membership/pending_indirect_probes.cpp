#include "membership/pending_indirect_probes.hpp"

#include <cstddef>
#include <utility>

namespace dragonflyroad {
namespace {

constexpr std::size_t max_waiting = 32;

} // namespace

void pending_indirect_probes::add(indirect_probe probe)
{
    if (this->waiting.size() >= max_waiting) {
        this->waiting.pop_front();
    }
    this->waiting.push_back(std::move(probe));
}

std::vector<indirect_probe> pending_indirect_probes::take_for(incarnation target, time_point now)
{
    std::vector<indirect_probe> taken;
    std::deque<indirect_probe> kept;
    for (indirect_probe& probe : this->waiting) {
        if (probe.expires <= now) {
            continue;
        }
        if (probe.target == target) {
            taken.push_back(std::move(probe));
        }
        else {
            kept.push_back(std::move(probe));
        }
    }
    this->waiting = std::move(kept);
    return taken;
}

} // namespace dragonflyroad
