#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace dragonflyroad {

/// Entries of one kind queued for gossip, at most one per key.
template<typename Key, typename Entry>
class gossip_list {
public:
    struct item {
        Entry entry;
        /// When the entry was true; its age is computed from this time when it is sent.
        time_point as_of;
    };

    /// Adds an entry as the newest one and replaces any entry with the same key. Drops the oldest
    /// entries beyond `max_waiting`.
    void push(const Key& key, Entry entry, time_point as_of, std::size_t max_waiting)
    {
        this->erase(key);
        const std::uint64_t order = ++this->last_order;
        this->by_order.emplace(order, waiting{key, item{std::move(entry), as_of}, 0});
        this->order_of.emplace(key, order);
        while (this->by_order.size() > max_waiting) {
            this->erase(std::prev(this->by_order.end())->second.key);
        }
    }

    /// Returns at most `max_count` entries, newest first, and drops those that have now been
    /// returned `max_sends` times.
    std::vector<item> take_next(std::size_t max_count, std::size_t max_sends)
    {
        std::vector<item> taken;
        for (auto next = this->by_order.begin(); next != this->by_order.end();) {
            if (taken.size() == max_count) {
                break;
            }
            taken.push_back(next->second.content);
            if (++next->second.times_sent >= max_sends) {
                this->order_of.erase(next->second.key);
                next = this->by_order.erase(next);
            }
            else {
                ++next;
            }
        }
        return taken;
    }

    void erase(const Key& key)
    {
        const auto found = this->order_of.find(key);
        if (found != this->order_of.end()) {
            this->by_order.erase(found->second);
            this->order_of.erase(found);
        }
    }

    bool empty() const { return this->by_order.empty(); }

private:
    struct waiting {
        Key key;
        item content;
        std::size_t times_sent = 0;
    };

    std::uint64_t last_order = 0;
    std::map<std::uint64_t, waiting, std::greater<>> by_order;
    std::map<Key, std::uint64_t> order_of;
};

} // namespace dragonflyroad
