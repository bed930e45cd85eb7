#include "adapters/config_writer.hpp"

#include "config/change_codec.hpp"
#include "config/codec.hpp"
#include "config/references.hpp"
#include "core/failure.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <utility>

namespace dragonflyroad {
namespace {

// Failed reads count as attempts. The store performs several hundred writes a second; 64 conflicts
// in a row would need far more concurrent writers than it can serve.
constexpr int max_attempts = 64;
constexpr int max_compaction_attempts = 8;

/// A write of the head. It is kept to be resolved if its reply is lost.
struct pending_write {
    std::string bytes;
    std::uint64_t expected_version = 0;
    revision_number revision = 0;
};

class change_writer {
public:
    change_writer(store& destination, change new_change,
                  const std::optional<revision_number>& required_revision, time_point latest)
        : target(destination),
          requested(std::move(new_change)),
          if_revision(required_revision),
          deadline(latest)
    {
    }

    change_result run()
    {
        for (int attempt = 0; attempt < max_attempts && boot_clock::now() < this->deadline;
             ++attempt) {
            const auto stored = read_configuration(this->target, this->deadline);
            if (!stored) {
                this->last_store_error = last_failure().detail;
                continue;
            }
            if (auto result = this->pending ? this->resolve_pending_write(*stored)
                                            : this->attempt_write(*stored)) {
                return *result;
            }
        }
        return this->failure_result();
    }

private:
    std::optional<change_result> attempt_write(const stored_configuration& stored);
    std::optional<change_result> resolve_pending_write(const stored_configuration& stored);
    std::optional<change_result> write_head(const pending_write& write);
    std::optional<change_result> validate_change(const stored_configuration& stored) const;
    void compact_head(stored_configuration& stored);
    change_result failure_result() const;

    store& target;
    change requested;
    std::optional<revision_number> if_revision;
    time_point deadline;
    bool has_base_revision = false;
    std::optional<pending_write> pending;
    std::string last_store_error;
};

std::optional<change_result>
change_writer::validate_change(const stored_configuration& stored) const
{
    const auto config = stored.build();
    if (!config) {
        return change_result{write_verdict::failed, 0, last_failure().detail, {}};
    }
    const auto refuse = [](const std::string& detail) {
        return change_result{write_verdict::refused, 0, detail, {}};
    };
    if (this->requested.operation == change_operation::withdraw) {
        const auto names = referring_objects(*config, this->requested.kind, this->requested.name);
        return names.empty() ? std::nullopt
                             : std::optional{refuse(
                                   fmt::format("it is still used by: {}", fmt::join(names, ", ")))};
    }
    const auto body = decode_object_text(this->requested.kind, this->requested.body);
    if (!body) {
        return refuse(last_failure().detail);
    }
    const auto names = missing_references(*config, *body);
    return names.empty() ? std::nullopt
                         : std::optional{refuse(fmt::format("it names objects that do not exist: "
                                                            "{}",
                                                            fmt::join(names, ", ")))};
}

std::optional<change_result> change_writer::attempt_write(const stored_configuration& read)
{
    const change* found = read.latest_change(this->requested.kind, this->requested.name);
    if (!this->has_base_revision) {
        this->requested.based_on =
            this->if_revision.value_or(found == nullptr ? 0 : found->revision);
        this->has_base_revision = true;
    }
    const revision_number current = found == nullptr ? 0 : found->revision;
    if (current != this->requested.based_on) {
        return change_result{write_verdict::conflict, 0,
                             fmt::format("based on revision {}, but the object is at revision {}",
                                         this->requested.based_on, current),
                             found == nullptr ? std::nullopt : std::optional{*found}};
    }
    if (auto refused = this->validate_change(read)) {
        return refused;
    }
    stored_configuration stored = read;
    this->compact_head(stored);
    const auto planned =
        plan_change(stored.head, this->requested,
                    stored.find_compacted_revision(this->requested.kind, this->requested.name));
    const auto* head = std::get_if<head_record>(&planned);
    return head == nullptr
               ? std::nullopt
               : this->write_head({encode_head(*head), stored.head_version, head->revision});
}

/// Writes the head. Returns nothing if the store has to be read again to decide the result.
std::optional<change_result> change_writer::write_head(const pending_write& write)
{
    const write_result result =
        this->target.write(head_key, write.bytes, write.expected_version, this->deadline);
    if (result.outcome == write_outcome::written) {
        return change_result{write_verdict::accepted, write.revision, "", {}};
    }
    if (result.outcome == write_outcome::unknown) {
        this->last_store_error = last_failure().detail;
        if (result.sent) {
            this->pending = write;
        }
    }
    return std::nullopt;
}

/// Resolves a write whose reply was lost. If the change is in the store, it was accepted. If the
/// head has not changed since, the write is repeated. Otherwise the write can no longer take
/// effect, and the change is attempted anew, unless the compaction of newer changes hides whether
/// it took effect.
std::optional<change_result>
change_writer::resolve_pending_write(const stored_configuration& stored)
{
    const pending_write lost = *this->pending;
    const change* found = find_change_by_id(stored.head.changes, this->requested.id);
    for (const chunk_record& chunk : stored.chunks) {
        found = found == nullptr ? find_change_by_id(chunk.entries, this->requested.id) : found;
    }
    if (found != nullptr) {
        return change_result{write_verdict::accepted, found->revision, "", {}};
    }
    if (stored.head_version <= lost.expected_version) {
        return this->write_head(lost);
    }
    if (stored.head.compacted_revision() >= lost.revision) {
        return this->failure_result();
    }
    this->pending.reset();
    return this->attempt_write(stored);
}

/// Compacts older changes into a chunk if the head needs it. If the chunk cannot be written, the
/// head stays as it is, and a later change compacts it.
void change_writer::compact_head(stored_configuration& stored)
{
    std::uint64_t min_new_number = 1;
    for (int attempt = 0; attempt < max_compaction_attempts; ++attempt) {
        const chunk_record* last = stored.chunks.empty() ? nullptr : &stored.chunks.back();
        auto plan = plan_compaction(stored.head, last, {}, min_new_number);
        if (!plan) {
            return;
        }
        const write_result result =
            this->target.write(chunk_key(plan->chunk_number), encode_chunk(plan->chunk),
                               plan->expected_version, this->deadline);
        if (result.outcome == write_outcome::unknown) {
            return;
        }
        if (result.outcome == write_outcome::written) {
            plan->head.chunks.back().version = result.version;
            if (plan->head.chunks.size() <= stored.chunks.size()) {
                stored.chunks.pop_back();
            }
            stored.head = std::move(plan->head);
            stored.chunks.push_back(std::move(plan->chunk));
            return;
        }
        std::erase_if(stored.head.free_chunks,
                      [&](const free_chunk& chunk) { return chunk.number == plan->chunk_number; });
        min_new_number = std::max(min_new_number, plan->chunk_number + 1);
    }
}

change_result change_writer::failure_result() const
{
    const write_verdict verdict = this->pending ? write_verdict::unknown : write_verdict::failed;
    const std::string reason =
        this->last_store_error.empty()
            ? "other changes were accepted first"
            : fmt::format("the store did not answer: {}", this->last_store_error);
    return {verdict, 0, reason, {}};
}

} // namespace

change_result submit_change(store& target, change requested,
                            const std::optional<revision_number>& if_revision, time_point deadline)
{
    return change_writer{target, std::move(requested), if_revision, deadline}.run();
}

} // namespace dragonflyroad
