#pragma once

#include "dispatch/store_position.hpp"

#include <cstdint>
#include <optional>

namespace dragonflyroad {

enum class era_verdict {
    /// The answer is of the newest era seen.
    current,
    /// The answer is the first one of a newer era.
    risen,
    /// The answer is of an era that has ended. It may have waited on a slow connection.
    outdated
};

/// The newest era of the store that a node has seen. Answers the fault that the store comes back
/// from an older copy while answers from before are still on their way: an answer of an ended era
/// names revisions and leases that the store has lost, and may since have given to others. Not
/// synchronised.
class store_era_tracker {
public:
    /// Records the era that an answer of the store or another node states.
    era_verdict observe(store_era stated)
    {
        if (!this->newest || stated > *this->newest) {
            this->rises += this->newest ? 1U : 0U;
            const bool is_first = !this->newest;
            this->newest = stated;
            return is_first ? era_verdict::current : era_verdict::risen;
        }
        if (stated < *this->newest) {
            ++this->outdated;
            return era_verdict::outdated;
        }
        return era_verdict::current;
    }

    /// Nothing before the first answer.
    std::optional<store_era> known() const { return this->newest; }
    store_era current() const { return this->newest.value_or(0); }

    std::uint64_t rise_count() const { return this->rises; }
    std::uint64_t outdated_count() const { return this->outdated; }

private:
    std::optional<store_era> newest;
    std::uint64_t rises = 0;
    std::uint64_t outdated = 0;
};

/// Whether a call proves nothing about what it asked for: it was sent in an era that had ended when
/// the store answered. What it wrote, or the lease that it named, may be of either era.
constexpr bool crosses_eras(std::optional<store_era> sent_in, store_era answered_in)
{
    return sent_in.has_value() && *sent_in != answered_in;
}

} // namespace dragonflyroad
