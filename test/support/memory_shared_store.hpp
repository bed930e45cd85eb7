#pragma once

#include "mesh/shared_store.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

/// An in-memory shared store for nodes of one process. Leases never expire; only end_lease() ends
/// them. It can go back to an older copy of itself, which begins a new era.
class memory_shared_store : public dragonflyroad::shared_store {
public:
    explicit memory_shared_store(boost::asio::io_context& loop) : context(loop) {}

    /// While the store is down every call fails, except put() and end_lease().
    void set_down(bool down) { this->is_down = down; }

    /// Items, revision and leases at one moment.
    struct copy;
    copy take_copy() const;
    /// Everything since the copy is lost. Its revisions and leases are given out again.
    void go_back_to(const copy& older);

    /// States its era in all answers from now on.
    void begin_eras() { this->stated_era = 1; }
    dragonflyroad::store_era stated() const { return this->stated_era; }

    std::optional<std::string> value(const std::string& key) const
    {
        const auto found = this->items.find(key);
        return found == this->items.end() || found->second.item.is_removed
                   ? std::nullopt
                   : std::optional{found->second.item.value};
    }

    /// Number of commits requested, including refused ones.
    std::size_t commits() const { return this->commit_calls; }
    /// Numbers of reads and watches requested.
    std::size_t reads() const { return this->read_calls; }
    std::size_t watches() const { return this->watch_calls; }

    void put(const std::string& key, const std::string& value, dragonflyroad::store_lease lease = 0)
    {
        this->items[key] = {{key, value, ++this->revision, false}, lease};
    }

    void remove(const std::string& key)
    {
        this->items[key] = {{key, "", ++this->revision, true}, 0};
    }

    std::size_t count(const std::string& prefix) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->items.begin(), this->items.end(), [&](const auto& item) {
                return item.first.starts_with(prefix) && !item.second.item.is_removed;
            }));
    }

    void read(const std::string& prefix, dragonflyroad::read_freshness,
              std::function<void(std::optional<dragonflyroad::stored_range>)> done) override
    {
        ++this->read_calls;
        this->post_to_loop([this, prefix, done = std::move(done)] {
            if (this->is_down) {
                done(std::nullopt);
                return;
            }
            this->accept_answer(this->stated_era);
            dragonflyroad::stored_range range;
            range.era = this->stated_era;
            range.revision = this->revision;
            for (const auto& [key, row] : this->items) {
                if (key.starts_with(prefix) && !row.item.is_removed) {
                    range.items.push_back(row.item);
                }
            }
            done(std::move(range));
        });
    }

    void watch(const std::string&, dragonflyroad::store_revision after, std::chrono::milliseconds,
               std::function<void(std::optional<dragonflyroad::stored_changes>)> done) override
    {
        ++this->watch_calls;
        // Answers after 20 ms even without changes, which the contract of watch() allows.
        auto timer = std::make_shared<boost::asio::steady_timer>(this->context,
                                                                 std::chrono::milliseconds{20});
        timer->async_wait([this, after, sent_in = this->stated_era, timer,
                           done = std::move(done)](const boost::system::error_code&) {
            if (this->is_down) {
                done(std::nullopt);
                return;
            }
            this->accept_answer(this->stated_era);
            dragonflyroad::stored_changes changes;
            changes.era = this->stated_era;
            changes.is_history_lost = sent_in != this->stated_era || after > this->revision;
            changes.revision = this->revision;
            for (const auto& [key, row] : this->items) {
                if (row.item.revision > after) {
                    changes.items.push_back(row.item);
                }
            }
            done(std::move(changes));
        });
    }

    void commit(const dragonflyroad::commit_request& request,
                std::function<void(dragonflyroad::commit_outcome)> done) override
    {
        ++this->commit_calls;
        this->post_to_loop([this, request, done = std::move(done)] {
            if (this->is_down) {
                done(dragonflyroad::commit_outcome::unknown);
                return;
            }
            this->accept_answer(this->stated_era);
            for (const auto& condition : request.conditions) {
                const auto found = this->items.find(condition.key);
                const bool is_present =
                    found != this->items.end() && !found->second.item.is_removed;
                const auto known = is_present ? found->second.item.revision : 0;
                if (known != condition.revision) {
                    done(dragonflyroad::commit_outcome::conflict);
                    return;
                }
            }
            for (const auto& write : request.writes) {
                this->put(write.key, write.value, write.lease);
            }
            for (const auto& key : request.removals) {
                this->items[key] = {{key, "", ++this->revision, true}, 0};
            }
            done(dragonflyroad::commit_outcome::committed);
        });
    }

    void grant_lease(std::chrono::milliseconds time_to_live,
                     std::function<void(std::optional<dragonflyroad::lease_grant>)> done) override
    {
        this->post_to_loop([this, time_to_live, done = std::move(done)] {
            if (!this->is_down) {
                this->accept_answer(this->stated_era);
            }
            done(this->is_down
                     ? std::nullopt
                     : std::optional{dragonflyroad::lease_grant{++this->last_lease, time_to_live}});
        });
    }

    void renew_lease(dragonflyroad::store_lease,
                     std::function<void(dragonflyroad::lease_outcome)> done) override
    {
        this->post_to_loop([this, done = std::move(done)] {
            if (!this->is_down) {
                this->accept_answer(this->stated_era);
            }
            done(this->is_down ? dragonflyroad::lease_outcome::unknown
                               : dragonflyroad::lease_outcome::renewed);
        });
    }

    void end_lease(dragonflyroad::store_lease lease) override
    {
        for (auto& [key, row] : this->items) {
            if (row.lease == lease) {
                row = {{key, "", ++this->revision, true}, 0};
            }
        }
    }

private:
    struct stored_entry {
        dragonflyroad::stored_item item;
        dragonflyroad::store_lease lease = 0;
    };

    template<typename Function>
    void post_to_loop(Function function)
    {
        boost::asio::post(this->context, std::move(function));
    }

    boost::asio::io_context& context;
    std::map<std::string, stored_entry> items;
    dragonflyroad::store_revision revision = 1;
    dragonflyroad::store_lease last_lease = 0;
    std::size_t commit_calls = 0;
    std::size_t read_calls = 0;
    std::size_t watch_calls = 0;
    dragonflyroad::store_era stated_era = 0;
    bool is_down = false;
};

struct memory_shared_store::copy {
    std::map<std::string, stored_entry> items;
    dragonflyroad::store_revision revision = 0;
    dragonflyroad::store_lease last_lease = 0;
};

inline memory_shared_store::copy memory_shared_store::take_copy() const
{
    return {this->items, this->revision, this->last_lease};
}

inline void memory_shared_store::go_back_to(const copy& older)
{
    this->items = older.items;
    this->revision = older.revision;
    this->last_lease = older.last_lease;
    ++this->stated_era;
}
