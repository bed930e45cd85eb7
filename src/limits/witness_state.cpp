#include "limits/witness_state.hpp"

#include "limits/fence.hpp"

#include <algorithm>

namespace dragonflyroad {

void witness_state::set_ledger(const ledger& book)
{
    this->witnessed.clear();
    this->marked.clear();
    for (const seat& entry : book.seats) {
        if (std::find(entry.witnesses.begin(), entry.witnesses.end(), this->self) !=
            entry.witnesses.end()) {
            this->witnessed.insert(entry.holder);
        }
        if (entry.marked != 0) {
            this->marked.insert(entry.holder);
        }
    }
    std::erase_if(this->consented,
                  [&](const seat_key& holder) { return book.find(holder) == nullptr; });
}

bool witness_state::promises(const seat_key& holder, bool own_fence_open) const
{
    return own_fence_open && this->witnessed.contains(holder) && !this->consented.contains(holder);
}

bool witness_state::consent(const seat_key& holder, time_point last_heard, time_point now)
{
    if (this->consented.contains(holder)) {
        return true;
    }
    if (!this->marked.contains(holder) || now - last_heard < fence_time) {
        return false;
    }
    this->consented.insert(holder);
    return true;
}

} // namespace dragonflyroad
