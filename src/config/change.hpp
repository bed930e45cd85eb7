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
    /// Random and unique; a writer whose reply was lost finds its change by it.
    std::string id;
    object_kind kind = object_kind::profile;
    std::string name;
    change_operation operation = change_operation::put;
    /// The object as JSON text; empty when it is withdrawn.
    std::string body;
    /// Revision of the object's previous change, as its author saw it; zero for none.
    revision_number based_on = 0;

    bool operator==(const change&) const = default;
};

/// A chunk value in use, `config/chunk/<number>`: the revision that it reaches, and its version in
/// the store. It is never written again while a head lists it.
struct chunk_reference {
    std::uint64_t number = 0;
    revision_number through = 0;
    std::uint64_t version = 0;

    bool operator==(const chunk_reference&) const = default;
};

/// A chunk value that is no longer in use. It is written again only from this version, so that two
/// writers that fold at once cannot both write it.
struct free_chunk {
    std::uint64_t number = 0;
    std::uint64_t version = 0;

    bool operator==(const free_chunk&) const = default;
};

/// The value of `config/head`: the latest changes, and where older ones have been folded.
struct head_record {
    revision_number revision = 0;
    /// Consecutive revisions that end with `revision`.
    std::vector<change> changes;
    /// In ascending order; a later chunk overrides an earlier one.
    std::vector<chunk_reference> chunks;
    std::vector<free_chunk> free_chunks;

    /// The revision that the chunks alone reach.
    revision_number folded_revision() const { return this->revision - this->changes.size(); }
};

/// A change that its author based on an older version of the object.
struct change_conflict {
    /// Revision of the object's present version; zero for none.
    revision_number found = 0;
};

constexpr const char* head_key = "config/head";
/// Key of a chunk value in the store.
std::string chunk_key(std::uint64_t number);

/// The object's latest change in the head, or nullptr.
const change* find_latest(const std::vector<change>& changes, object_kind kind,
                          const std::string& name);
/// The change with this id, or nullptr.
const change* find_by_id(const std::vector<change>& changes, const std::string& id);

/// Adds a change to the head as its next revision, or returns the conflict. `folded` is the
/// revision of the object in the head's chunks, zero for none.
std::variant<head_record, change_conflict> plan_change(const head_record& head, change wanted,
                                                       revision_number folded);

} // namespace dragonflyroad
