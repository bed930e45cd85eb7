#include "adapters/stored_configuration.hpp"

#include "config/change_codec.hpp"
#include "config/replica.hpp"
#include "core/failure.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

// Chunks are replaced only when the head is compacted, once in 64 changes unless they are large, so
// a retry is rarely needed.
constexpr int max_attempts = 5;

enum class chunk_result { complete, replaced, failed };

chunk_result read_chunks(store& source, time_point deadline, stored_configuration& target)
{
    for (const chunk_reference& listed : target.head.chunks) {
        const auto value = source.read(chunk_key(listed.number), deadline);
        if (!value) {
            return chunk_result::failed;
        }
        if (value->version != listed.version) {
            fail("read_configuration", chunk_key(listed.number),
                 "the chunk was replaced after the head was read");
            return chunk_result::replaced;
        }
        std::optional<chunk_record> chunk = decode_chunk(value->bytes);
        if (!chunk) {
            return chunk_result::failed;
        }
        target.chunks.push_back(std::move(*chunk));
    }
    return chunk_result::complete;
}

} // namespace

const change* stored_configuration::latest_change(object_kind kind, const std::string& name) const
{
    if (const change* found = find_latest_change(this->head.changes, kind, name)) {
        return found;
    }
    for (auto chunk = this->chunks.rbegin(); chunk != this->chunks.rend(); ++chunk) {
        if (const change* found = find_latest_change(chunk->entries, kind, name)) {
            return found;
        }
    }
    return nullptr;
}

revision_number stored_configuration::find_compacted_revision(object_kind kind,
                                                              const std::string& name) const
{
    for (auto chunk = this->chunks.rbegin(); chunk != this->chunks.rend(); ++chunk) {
        if (const change* found = find_latest_change(chunk->entries, kind, name)) {
            return found->revision;
        }
    }
    return 0;
}

std::optional<configuration> stored_configuration::build() const
{
    configuration config;
    const bool applied =
        std::all_of(this->chunks.begin(), this->chunks.end(),
                    [&](const chunk_record& chunk) { return apply_chunk(config, chunk); }) &&
        std::all_of(this->head.changes.begin(), this->head.changes.end(),
                    [&](const change& entry) { return apply_change(config, entry); });
    return applied ? std::optional{std::move(config)} : std::nullopt;
}

std::optional<head_record> read_head(store& source, time_point deadline, std::uint64_t& version)
{
    const auto value = source.read(head_key, deadline);
    if (!value) {
        return std::nullopt;
    }
    version = value->version;
    return decode_head(value->bytes);
}

std::optional<stored_configuration> read_configuration(store& source, time_point deadline)
{
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        stored_configuration result;
        auto head = read_head(source, deadline, result.head_version);
        if (!head) {
            return std::nullopt;
        }
        result.head = std::move(*head);
        const chunk_result chunks = read_chunks(source, deadline, result);
        if (chunks == chunk_result::complete) {
            return result;
        }
        if (chunks == chunk_result::failed) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

} // namespace dragonflyroad
