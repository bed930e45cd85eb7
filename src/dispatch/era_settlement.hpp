#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "dispatch/store_position.hpp"

namespace dragonflyroad {

/// Decides from when on the store's word proves that a configuration is current, after an era of
/// the store has begun. Answers the fault that the store comes back from an older copy and has lost
/// the newest configuration, which withdrew a key, until the operators write it again: a node that
/// never saw that configuration must not take the one in the copy for the newest. Not synchronised.
///
/// A node that starts can't tell how long ago the era began. Therefore the store holds a mark with
/// the era that has settled. A copy holds the mark of an earlier era, which no longer counts.
class era_settlement {
public:
    /// The node saw the first answer of this era, with this revision of the store.
    void begin(const store_position& first, time_point now);
    /// The store holds a mark with this era.
    void record_mark(store_era marked);
    /// The configuration in the store, and the revision at which it was written.
    void record_configuration(store_revision written_at, revision_number version);
    /// Some node has this configuration, so the operators have written it.
    void note_version(revision_number version);

    bool is_marked() const { return this->mark == this->current && this->current != 0; }
    /// Whether a proof taken from the store now shows that no newer configuration exists.
    bool proves_currency(time_point now) const;
    /// Whether the mark of this era is to be written: the configuration is proved and every lease
    /// of the era before has ended.
    bool should_mark(time_point now) const;

private:
    store_era current = 0;
    store_era mark = 0;
    time_point begun_at{};
    store_revision first_revision = 0;
    revision_number version_in_store = 0;
    revision_number newest_version = 0;
    bool is_rewritten = false;
};

} // namespace dragonflyroad
