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

// More writers than this at once are far above the several hundred writes a second of the store.
constexpr int most_attempts = 64;
constexpr int most_fold_attempts = 8;

/// A write of the head whose reply was lost.
struct pending_write {
    std::string bytes;
    std::uint64_t expected_version = 0;
    revision_number revision = 0;
};

class change_writer {
public:
    change_writer(store& store_to_use, change change_to_write,
                  const std::optional<revision_number>& required, time_point until)
        : target(store_to_use),
          wanted(std::move(change_to_write)),
          if_revision(required),
          deadline(until)
    {
    }

    change_result run()
    {
        for (int attempt = 0; attempt < most_attempts && boot_clock::now() < this->deadline;
             ++attempt) {
            const auto stored = read_configuration(this->target, this->deadline);
            if (!stored) {
                this->failure_seen = last_failure().detail;
                continue;
            }
            if (auto result = this->pending ? this->settle(*stored) : this->attempt(*stored)) {
                return *result;
            }
        }
        return this->give_up();
    }

private:
    std::optional<change_result> attempt(const stored_configuration& stored);
    std::optional<change_result> settle(const stored_configuration& stored);
    std::optional<change_result> send(const pending_write& write);
    std::optional<change_result> check(const stored_configuration& stored) const;
    void fold(stored_configuration& stored);
    change_result give_up() const;

    store& target;
    change wanted;
    std::optional<revision_number> if_revision;
    time_point deadline;
    bool is_based = false;
    std::optional<pending_write> pending;
    std::string failure_seen;
};

std::optional<change_result> change_writer::check(const stored_configuration& stored) const
{
    const auto config = stored.build();
    if (!config) {
        return change_result{write_verdict::failed, 0, last_failure().detail, {}};
    }
    const auto refuse = [](const std::string& detail) {
        return change_result{write_verdict::refused, 0, detail, {}};
    };
    if (this->wanted.operation == change_operation::withdraw) {
        const auto names = referring_objects(*config, this->wanted.kind, this->wanted.name);
        return names.empty() ? std::nullopt
                             : std::optional{refuse(
                                   fmt::format("it is still used by: {}", fmt::join(names, ", ")))};
    }
    const auto body = decode_object_text(this->wanted.kind, this->wanted.body);
    if (!body) {
        return refuse(last_failure().detail);
    }
    const auto names = missing_references(*config, *body);
    return names.empty() ? std::nullopt
                         : std::optional{refuse(fmt::format("it names objects that do not exist: "
                                                            "{}",
                                                            fmt::join(names, ", ")))};
}

std::optional<change_result> change_writer::attempt(const stored_configuration& read)
{
    const change* found = read.latest(this->wanted.kind, this->wanted.name);
    if (!this->is_based) {
        this->wanted.based_on = this->if_revision.value_or(found == nullptr ? 0 : found->revision);
        this->is_based = true;
    }
    const revision_number present = found == nullptr ? 0 : found->revision;
    if (present != this->wanted.based_on) {
        return change_result{write_verdict::conflict, 0,
                             fmt::format("based on revision {}, but the object is at revision {}",
                                         this->wanted.based_on, present),
                             found == nullptr ? std::nullopt : std::optional{*found}};
    }
    if (auto refused = this->check(read)) {
        return refused;
    }
    stored_configuration stored = read;
    this->fold(stored);
    const auto planned =
        plan_change(stored.head, this->wanted, stored.folded(this->wanted.kind, this->wanted.name));
    const auto* head = std::get_if<head_record>(&planned);
    return head == nullptr ? std::nullopt
                           : this->send({encode_head(*head), stored.head_version, head->revision});
}

/// Writes the head. An outcome that needs another look at the store returns nothing.
std::optional<change_result> change_writer::send(const pending_write& write)
{
    const write_result result =
        this->target.write(head_key, write.bytes, write.expected_version, this->deadline);
    if (result.outcome == write_outcome::written) {
        return change_result{write_verdict::accepted, write.revision, "", {}};
    }
    if (result.outcome == write_outcome::unknown) {
        this->failure_seen = last_failure().detail;
        if (result.sent) {
            this->pending = write;
        }
    }
    return std::nullopt;
}

/// Decides what became of a write without reply: it is in the head, or can still be repeated, or
/// cannot take effect any more because the head has moved on without it.
std::optional<change_result> change_writer::settle(const stored_configuration& stored)
{
    const pending_write lost = *this->pending;
    const change* found = find_by_id(stored.head.changes, this->wanted.id);
    for (const chunk_record& chunk : stored.chunks) {
        found = found == nullptr ? find_by_id(chunk.entries, this->wanted.id) : found;
    }
    if (found != nullptr) {
        return change_result{write_verdict::accepted, found->revision, "", {}};
    }
    if (stored.head_version <= lost.expected_version) {
        return this->send(lost);
    }
    if (stored.head.folded_revision() >= lost.revision) {
        return this->give_up();
    }
    this->pending.reset();
    return this->attempt(stored);
}

/// Folds older changes if the head needs it. When a chunk cannot be written, the head stays as it
/// is, and a later change folds it.
void change_writer::fold(stored_configuration& stored)
{
    std::uint64_t least_new_number = 1;
    for (int attempt = 0; attempt < most_fold_attempts; ++attempt) {
        const chunk_record* last = stored.chunks.empty() ? nullptr : &stored.chunks.back();
        auto plan = plan_fold(stored.head, last, {}, least_new_number);
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
        least_new_number = std::max(least_new_number, plan->chunk_number + 1);
    }
}

change_result change_writer::give_up() const
{
    const write_verdict verdict = this->pending ? write_verdict::unknown : write_verdict::failed;
    const std::string reason =
        this->failure_seen.empty()
            ? "other changes were accepted first"
            : fmt::format("the store did not answer: {}", this->failure_seen);
    return {verdict, 0, reason, {}};
}

} // namespace

change_result submit_change(store& target, change wanted,
                            const std::optional<revision_number>& if_revision, time_point deadline)
{
    return change_writer{target, std::move(wanted), if_revision, deadline}.run();
}

} // namespace dragonflyroad
