#include "dispatch/group_tenure.hpp"

#include <algorithm>

namespace dragonflyroad {

void group_tenure::begin_era(time_point now, time_point valid_until)
{
    this->others_until = now + this->longest_lease;
    for (auto& [group, known] : this->rights) {
        // A node that still waits in the ended era has no right to take along.
        if (known.is_held && now >= known.admits_from) {
            known.inherited_until = std::max(known.inherited_until, valid_until);
        }
        known.is_held = false;
    }
}

void group_tenure::hold(std::size_t group, time_point now, bool is_settled)
{
    right& known = this->rights[group];
    if (known.is_held) {
        return;
    }
    known.is_held = true;
    const bool goes_on = now < known.inherited_until;
    known.admits_from = goes_on || is_settled ? now : std::max(now, this->others_until);
}

bool group_tenure::release(std::size_t group)
{
    return this->rights.erase(group) > 0;
}

std::vector<std::size_t> group_tenure::release_lapsed(time_point now)
{
    std::vector<std::size_t> lapsed;
    for (const auto& [group, known] : this->rights) {
        if (!known.is_held && now >= known.inherited_until) {
            lapsed.push_back(group);
        }
    }
    for (const std::size_t group : lapsed) {
        this->rights.erase(group);
    }
    return lapsed;
}

bool group_tenure::is_held(std::size_t group) const
{
    const auto found = this->rights.find(group);
    return found != this->rights.end() && found->second.is_held;
}

bool group_tenure::holds_any() const
{
    return std::ranges::any_of(this->rights, [](const auto& item) { return item.second.is_held; });
}

bool group_tenure::has_inherited(std::size_t group, time_point now) const
{
    const auto found = this->rights.find(group);
    return found != this->rights.end() && now < found->second.inherited_until;
}

bool group_tenure::may_admit(std::size_t group, time_point now, bool is_lease_valid,
                             bool is_settled) const
{
    const auto found = this->rights.find(group);
    if (found == this->rights.end()) {
        return false;
    }
    const right& known = found->second;
    const bool is_active = known.is_held && (is_settled || now >= known.admits_from);
    return (is_active && is_lease_valid) || now < known.inherited_until;
}

} // namespace dragonflyroad
