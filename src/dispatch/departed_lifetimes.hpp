#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace dragonflyroad {

/// The lifetimes of the upstream beside a node that have left or have said that they drain. The
/// fault it answers: a report that was delayed by a partition arrives after its sender has left,
/// possibly at a new process of the node, and would bring the upstream back into use. The list
/// therefore lasts in the store as text. Not synchronised.
class departed_lifetimes {
public:
    /// `started_at` is the Unix time of the lifetime's start in milliseconds; an earlier one of the
    /// same id is replaced.
    void add(const std::string& id, std::int64_t started_at);
    void add_all(const departed_lifetimes& other);

    /// Whether this lifetime has left. A later one of the same id has not.
    bool contains(const std::string& id, std::int64_t started_at) const;
    bool contains_all(const departed_lifetimes& other) const;
    bool is_empty() const { return this->starts.empty(); }
    const std::map<std::string, std::int64_t>& all() const { return this->starts; }

    /// Empty when there are none.
    std::string to_text() const;
    /// Entries that cannot be read are left out.
    static departed_lifetimes from_text(const std::string& text);

private:
    void remove_earliest();

    /// Start of the latest lifetime that left, by id.
    std::map<std::string, std::int64_t> starts;
};

} // namespace dragonflyroad
