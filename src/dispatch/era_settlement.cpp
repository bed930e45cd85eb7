#include "dispatch/era_settlement.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

using namespace std::chrono_literals;

/// Time in which the operators are expected to have written the newest configuration again. It is
/// shorter than the 4.7 s for which a proof from the ended era holds, so that requests with a key
/// are served without a gap when the store was away for a moment only.
constexpr std::chrono::milliseconds rewrite_time = 3s;

/// The same while the store holds an older configuration than some node. After this time the
/// operators are assumed not to write that one again: they never got its confirmation.
constexpr std::chrono::milliseconds longest_rewrite_time = 10s;

/// Leases of quota groups from the ended era have expired after this time. See group_tenure.
constexpr std::chrono::milliseconds lease_time = 4500ms;

} // namespace

void era_settlement::begin(const store_position& first, time_point now)
{
    this->current = first.era;
    this->begun_at = now;
    this->first_revision = first.revision;
    this->version_in_store = 0;
    this->is_rewritten = false;
}

void era_settlement::record_mark(store_era marked)
{
    this->mark = marked;
}

void era_settlement::record_configuration(store_revision written_at, revision_number version)
{
    this->is_rewritten = this->is_rewritten || written_at > this->first_revision;
    this->version_in_store = version;
    this->note_version(version);
}

void era_settlement::note_version(revision_number version)
{
    this->newest_version = std::max(this->newest_version, version);
}

bool era_settlement::proves_currency(time_point now) const
{
    if (this->current == 0 || this->is_marked()) {
        return true;
    }
    if (this->version_in_store < this->newest_version) {
        return now >= this->begun_at + longest_rewrite_time;
    }
    return this->is_rewritten || now >= this->begun_at + rewrite_time;
}

bool era_settlement::should_mark(time_point now) const
{
    return this->current != 0 && !this->is_marked() && now >= this->begun_at + lease_time &&
           this->proves_currency(now);
}

} // namespace dragonflyroad
