#pragma once

#include "core/digest.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflyroad {

/// A copy-on-write hash map for a million small records, with about 3 bytes of overhead per record:
/// records are packed consecutively, with a header of 2 bytes each, into shards of at most 32
/// records on average. Copies of a table share their shards, and a change copies one shard. Lookups
/// unpack the record, so an iterator holds a copy of it.
///
/// `Packing` provides `key_type`, `record_type`, `pack_key(key) -> string`, `pack(record) ->
/// string` (at most 255 bytes each) and `unpack(key, bytes) -> pair<key, record>`.
template<typename Packing>
class compact_table {
public:
    using key_type = typename Packing::key_type;
    using mapped_type = typename Packing::record_type;
    using value_type = std::pair<key_type, mapped_type>;

    /// An input iterator that holds the unpacked record.
    class const_iterator {
    public:
        const_iterator() = default;
        const_iterator(const compact_table* owner, std::size_t shard_index,
                       std::size_t entry_offset)
            : table(owner), shard(shard_index), offset(entry_offset)
        {
            this->load_entry();
        }
        const value_type& operator*() const { return *this->value; }
        const value_type* operator->() const { return &*this->value; }
        const_iterator& operator++()
        {
            this->offset += entry_size(this->table->bytes_of(this->shard), this->offset);
            this->load_entry();
            return *this;
        }
        bool operator==(const const_iterator& other) const
        {
            return this->shard == other.shard && this->offset == other.offset;
        }

    private:
        /// Unpacks the entry at the offset, or else the first one of the next non-empty shard.
        void load_entry()
        {
            this->value.reset();
            while (this->shard < this->table->shards.size()) {
                const std::string_view bytes = this->table->bytes_of(this->shard);
                if (this->offset < bytes.size()) {
                    this->value = Packing::unpack(key_at(bytes, this->offset),
                                                  record_at(bytes, this->offset));
                    return;
                }
                ++this->shard;
                this->offset = 0;
            }
        }

        const compact_table* table = nullptr;
        std::size_t shard = 0;
        std::size_t offset = 0;
        std::optional<value_type> value;
    };

    const_iterator begin() const { return {this, 0, 0}; }
    const_iterator end() const { return {this, this->shards.size(), 0}; }

    const_iterator find(const key_type& key) const
    {
        const std::string packed = Packing::pack_key(key);
        const std::size_t index = this->shard_of(packed);
        const std::size_t offset = find_entry(this->bytes_of(index), packed);
        return offset == std::string::npos ? this->end() : const_iterator{this, index, offset};
    }

    bool contains(const key_type& key) const { return !(this->find(key) == this->end()); }

    mapped_type at(const key_type& key) const
    {
        const const_iterator found = this->find(key);
        if (found == this->end()) {
            throw std::out_of_range("compact_table::at: no record with this key");
        }
        return found->second;
    }

    mapped_type find_or_default(const key_type& key) const
    {
        const const_iterator found = this->find(key);
        return found == this->end() ? mapped_type{} : found->second;
    }

    std::size_t size() const { return this->count; }
    bool empty() const { return this->count == 0; }

    /// Applies `change` to the record with this key, or to a default record if there is none, and
    /// stores the result.
    template<typename Change>
    void update(const key_type& key, const Change& change)
    {
        mapped_type record = this->find_or_default(key);
        change(record);
        this->insert_or_assign(key, record);
    }

    void emplace(const key_type& key, const mapped_type& record)
    {
        if (!this->contains(key)) {
            this->insert_or_assign(key, record);
        }
    }

    void insert_or_assign(const key_type& key, const mapped_type& record)
    {
        if (this->count >= this->shards.size() * max_mean_shard_records) {
            this->double_shards();
        }
        this->write_entry(Packing::pack_key(key), Packing::pack(record));
    }

    std::size_t erase(const key_type& key)
    {
        const std::string packed = Packing::pack_key(key);
        const std::size_t index = this->shard_of(packed);
        const std::string_view bytes = this->bytes_of(index);
        const std::size_t offset = find_entry(bytes, packed);
        if (offset == std::string::npos) {
            return 0;
        }
        this->shards[index] = make_shard(bytes.substr(0, offset),
                                         bytes.substr(offset + entry_size(bytes, offset)), {}, {});
        --this->count;
        return 1;
    }

private:
    // Larger shards make lookups slower; smaller ones use more memory per record.
    static constexpr std::size_t max_mean_shard_records = 32;
    static constexpr std::size_t header_size = 2;

    // Layout of an entry: packed key size (1 byte), packed record size (1 byte), key, record.
    static std::size_t byte_at(std::string_view bytes, std::size_t offset)
    {
        return static_cast<unsigned char>(bytes[offset]);
    }
    static std::string_view key_at(std::string_view bytes, std::size_t offset)
    {
        return bytes.substr(offset + header_size, byte_at(bytes, offset));
    }
    static std::string_view record_at(std::string_view bytes, std::size_t offset)
    {
        return bytes.substr(offset + header_size + byte_at(bytes, offset),
                            byte_at(bytes, offset + 1));
    }
    static std::size_t entry_size(std::string_view bytes, std::size_t offset)
    {
        return header_size + byte_at(bytes, offset) + byte_at(bytes, offset + 1);
    }
    static std::size_t find_entry(std::string_view bytes, std::string_view key)
    {
        for (std::size_t offset = 0; offset < bytes.size(); offset += entry_size(bytes, offset)) {
            if (key_at(bytes, offset) == key) {
                return offset;
            }
        }
        return std::string::npos;
    }

    using shard_pointer = std::shared_ptr<const std::string>;

    static shard_pointer make_shard(std::string_view before, std::string_view after,
                                    std::string_view key, std::string_view record)
    {
        std::string bytes;
        bytes.reserve(before.size() + after.size() + header_size + key.size() + record.size());
        bytes.append(before).append(after);
        if (!key.empty()) {
            bytes += static_cast<char>(key.size());
            bytes += static_cast<char>(record.size());
            bytes.append(key).append(record);
        }
        return std::make_shared<const std::string>(std::move(bytes));
    }

    std::string_view bytes_of(std::size_t index) const
    {
        return index < this->shards.size() && this->shards[index] != nullptr
                   ? std::string_view{*this->shards[index]}
                   : std::string_view{};
    }

    std::size_t shard_of(std::string_view key) const
    {
        return this->shards.empty() ? 0 : stable_hash(key) % this->shards.size();
    }

    void write_entry(std::string_view key, std::string_view record)
    {
        const std::size_t index = this->shard_of(key);
        const std::string_view bytes = this->bytes_of(index);
        const std::size_t offset = find_entry(bytes, key);
        const bool is_new = offset == std::string::npos;
        const std::string_view before = is_new ? bytes : bytes.substr(0, offset);
        const std::string_view after =
            is_new ? std::string_view{} : bytes.substr(offset + entry_size(bytes, offset));
        this->shards[index] = make_shard(before, after, key, record);
        this->count += is_new ? 1 : 0;
    }

    void double_shards()
    {
        compact_table larger;
        larger.shards.resize(this->shards.empty() ? 1 : this->shards.size() * 2);
        for (std::size_t index = 0; index < this->shards.size(); ++index) {
            const std::string_view bytes = this->bytes_of(index);
            for (std::size_t offset = 0; offset < bytes.size();
                 offset += entry_size(bytes, offset)) {
                larger.write_entry(key_at(bytes, offset), record_at(bytes, offset));
            }
            this->shards[index].reset();
        }
        *this = std::move(larger);
    }

    std::vector<shard_pointer> shards;
    std::size_t count = 0;
};

} // namespace dragonflyroad
