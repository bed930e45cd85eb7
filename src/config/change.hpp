#pragma once

#include "config/object.hpp"
#include "core/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dragonflyroad {

enum class change_operation { put, withdraw };

/// One accepted change of one object.
struct change {
    /// The configuration's revision after this change; zero before it is accepted.
    revision_number revision = 0;
    /// Random and unique. A writer that got no reply checks by this id whether its change was
    /// accepted.
    std::string id;
    object_kind kind = object_kind::profile;
    std::string name;
    change_operation operation = change_operation::put;
    /// The object as JSON text; empty when it is withdrawn.
    std::string body;
    /// Revision of the object's latest change that the author knew of; zero if there was none. The
    /// change is refused if the object has changed since.
    revision_number based_on = 0;

    bool operator==(const change&) const = default;
};

/// A chunk in use, stored under `config/chunk/<number>`: `through` is the last revision that it
/// covers, `version` its version in the store. It is never overwritten while the head lists it.
struct chunk_reference {
    std::uint64_t number = 0;
    revision_number through = 0;
    std::uint64_t version = 0;

    bool operator==(const chunk_reference&) const = default;
};

/// A chunk that is no longer in use. A later compaction overwrites it by a compare-and-swap against
/// this version, so if two writers compact at the same time, only one of them succeeds.
struct free_chunk {
    std::uint64_t number = 0;
    std::uint64_t version = 0;

    bool operator==(const free_chunk&) const = default;
};

/// The value of `config/head`: the latest changes, and the chunks that hold older ones.
struct head_record {
    revision_number revision = 0;
    /// The latest changes; their revisions are consecutive and end with `revision`.
    std::vector<change> changes;
    /// Ordered by ascending revision; changes in later chunks override those in earlier ones.
    std::vector<chunk_reference> chunks;
    std::vector<free_chunk> free_chunks;

    /// The last revision that the chunks cover.
    revision_number compacted_revision() const { return this->revision - this->changes.size(); }
};

/// Reports that a change is not based on the latest change of its object.
struct change_conflict {
    /// Revision of the object's latest change; zero if there is none.
    revision_number current_revision = 0;
};

constexpr const char* head_key = "config/head";
std::string chunk_key(std::uint64_t number);

/// The last change of the object in the list, or nullptr.
const change* find_latest_change(const std::vector<change>& changes, object_kind kind,
                                 const std::string& name);
/// The change with this id, or nullptr.
const change* find_change_by_id(const std::vector<change>& changes, const std::string& id);

/// Returns the head with the change appended as its next revision, or the conflict.
/// `chunk_revision` is the object's revision in the head's chunks, zero for none.
std::variant<head_record, change_conflict> plan_change(const head_record& head, change proposed,
                                                       revision_number chunk_revision);

} // namespace dragonflyroad
