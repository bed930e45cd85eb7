#pragma once

#include "memory_shared_store.hpp"

#include <functional>
#include <optional>
#include <utility>

/// One node's way to a memory store shared by several nodes: it sees the store's era only in the
/// answers that it gets itself, and the store may turn this node away while it serves the others.
class store_port : public dragonflyroad::shared_store {
public:
    explicit store_port(memory_shared_store& shared) : store(shared) {}

    void set_refused(bool refused) { this->is_refused = refused; }

    void read(const std::string& prefix, dragonflyroad::read_freshness freshness,
              std::function<void(std::optional<dragonflyroad::stored_range>)> done) override
    {
        this->store.read(prefix, freshness, [this, done = std::move(done)](auto range) {
            done(this->is_usable(range) ? std::move(range) : std::nullopt);
        });
    }

    void watch(const std::string& prefix, dragonflyroad::store_revision after,
               std::chrono::milliseconds wait,
               std::function<void(std::optional<dragonflyroad::stored_changes>)> done) override
    {
        this->store.watch(prefix, after, wait, [this, done = std::move(done)](auto changes) {
            done(this->is_usable(changes) ? std::move(changes) : std::nullopt);
        });
    }

    void commit(const dragonflyroad::commit_request& request,
                std::function<void(dragonflyroad::commit_outcome)> done) override
    {
        if (this->is_refused) {
            this->store.read("", {}, [done = std::move(done)](const auto&) {
                done(dragonflyroad::commit_outcome::unknown);
            });
            return;
        }
        this->store.commit(
            request, [this, sent_in = this->eras().known(), done = std::move(done)](auto outcome) {
                const bool is_lost =
                    outcome == dragonflyroad::commit_outcome::unknown || this->is_across(sent_in);
                done(is_lost ? dragonflyroad::commit_outcome::unknown : outcome);
            });
    }

    void grant_lease(std::chrono::milliseconds time_to_live,
                     std::function<void(std::optional<dragonflyroad::lease_grant>)> done) override
    {
        this->store.grant_lease(time_to_live, [this, sent_in = this->eras().known(),
                                               done = std::move(done)](auto grant) {
            const bool is_lost = this->is_refused || !grant || this->is_across(sent_in);
            done(is_lost ? std::nullopt : grant);
        });
    }

    void renew_lease(dragonflyroad::store_lease lease,
                     std::function<void(dragonflyroad::lease_outcome)> done) override
    {
        this->store.renew_lease(
            lease, [this, sent_in = this->eras().known(), done = std::move(done)](auto outcome) {
                const bool is_lost = this->is_refused ||
                                     outcome == dragonflyroad::lease_outcome::unknown ||
                                     this->is_across(sent_in);
                done(is_lost ? dragonflyroad::lease_outcome::unknown : outcome);
            });
    }

    void end_lease(dragonflyroad::store_lease lease) override
    {
        if (!this->is_refused) {
            this->store.end_lease(lease);
        }
    }

private:
    template<typename Answer>
    bool is_usable(const std::optional<Answer>& answer)
    {
        return !this->is_refused && answer && this->accept_answer(answer->era);
    }

    bool is_across(std::optional<dragonflyroad::store_era> sent_in)
    {
        const dragonflyroad::store_era now = this->store.stated();
        return !this->accept_answer(now) || dragonflyroad::crosses_eras(sent_in, now);
    }

    memory_shared_store& store;
    bool is_refused = false;
};
