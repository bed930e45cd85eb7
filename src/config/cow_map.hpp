#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <utility>

namespace dragonflyroad {

/// A copy-on-write std::map: copies share their contents until one of them is modified. A
/// configuration is copied for every change, and most changes modify only one of its maps.
template<typename Key, typename Value>
class cow_map {
public:
    using map_type = std::map<Key, Value>;
    using value_type = typename map_type::value_type;
    using const_iterator = typename map_type::const_iterator;

    const_iterator begin() const { return this->contents->begin(); }
    const_iterator end() const { return this->contents->end(); }
    const_iterator find(const Key& key) const { return this->contents->find(key); }
    bool contains(const Key& key) const { return this->contents->contains(key); }
    const Value& at(const Key& key) const { return this->contents->at(key); }
    std::size_t size() const { return this->contents->size(); }
    bool empty() const { return this->contents->empty(); }

    Value& operator[](const Key& key) { return this->writable()[key]; }
    std::size_t erase(const Key& key) { return this->writable().erase(key); }
    void emplace(const Key& key, Value value) { this->writable().emplace(key, std::move(value)); }
    void insert_or_assign(const Key& key, Value value)
    {
        this->writable().insert_or_assign(key, std::move(value));
    }

private:
    map_type& writable()
    {
        if (this->contents.use_count() != 1) {
            this->contents = std::make_shared<map_type>(*this->contents);
        }
        return *this->contents;
    }

    std::shared_ptr<map_type> contents = std::make_shared<map_type>();
};

} // namespace dragonflyroad
