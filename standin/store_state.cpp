#include "standin/store_state.hpp"

#include "adapters/store.hpp"

#include <algorithm>

namespace dragonflyroad::standin {
namespace {

const char* to_name(store_call call)
{
    switch (call) {
    case store_call::read:
        return "read";
    case store_call::write:
        return "write";
    case store_call::remove:
        return "delete";
    case store_call::watch:
        return "watch";
    case store_call::lease:
        return "lease";
    case store_call::renew:
        break;
    }
    return "renew";
}

const store_response no_reply{false, 0, 0, ""};

// std::condition_variable cannot wait on boot_clock, so deadlines are converted to durations.
std::chrono::nanoseconds time_until(time_point deadline)
{
    return std::max(deadline - boot_clock::now(), std::chrono::nanoseconds::zero());
}

} // namespace

bool store_state::begin_call(lock& guard, store_call call)
{
    ++this->call_counts[call];
    if (this->fault.mode == store_mode::slow) {
        const time_point end = boot_clock::now() + this->fault.delay;
        while (!this->stopping && this->fault.mode == store_mode::slow && boot_clock::now() < end) {
            this->changed.wait_for(guard, time_until(end));
        }
    }
    this->expire_leases();
    if (this->stopping) {
        return false;
    }
    if (this->fault.mode == store_mode::down) {
        if (--this->fault.count == 0) {
            this->fault = {};
        }
        return false;
    }
    return true;
}

store_response store_state::finish_write(store_response response)
{
    this->changed.notify_all();
    if (this->fault.mode != store_mode::lose_replies) {
        return response;
    }
    if (--this->fault.count == 0) {
        this->fault = {};
    }
    return no_reply;
}

store_response store_state::read_entry(const std::string& key) const
{
    const auto& source =
        this->fault.mode == store_mode::stale ? this->stale_entries : this->entries;
    const auto found = source.find(key);
    if (found == source.end() || !found->second.exists) {
        return {true, 404, 0, ""};
    }
    return {true, 200, found->second.version, found->second.bytes};
}

store_response store_state::read(const std::string& key)
{
    lock guard{this->mutex};
    return this->begin_call(guard, store_call::read) ? this->read_entry(key) : no_reply;
}

store_response store_state::write(const std::string& key, const std::string& bytes,
                                  std::uint64_t expected_version, std::uint64_t lease_id)
{
    lock guard{this->mutex};
    if (!this->begin_call(guard, store_call::write)) {
        return no_reply;
    }
    if (bytes.size() > max_store_value_bytes) {
        return {true, 413, 0, ""};
    }
    if (lease_id != 0 && !this->leases.contains(lease_id)) {
        return {true, 404, 0, ""};
    }
    entry& target = this->entries[key];
    const std::uint64_t current = target.exists ? target.version : 0;
    if (current != expected_version) {
        return this->finish_write({true, 409, current, ""});
    }
    target = {bytes, target.version + 1, true, lease_id};
    return this->finish_write({true, 200, target.version, ""});
}

store_response store_state::remove(const std::string& key, std::uint64_t expected_version)
{
    lock guard{this->mutex};
    if (!this->begin_call(guard, store_call::remove)) {
        return no_reply;
    }
    entry& target = this->entries[key];
    if (!target.exists) {
        return this->finish_write({true, 404, 0, ""});
    }
    if (target.version != expected_version) {
        return this->finish_write({true, 409, target.version, ""});
    }
    this->remove_entry(target);
    return this->finish_write({true, 200, target.version, ""});
}

store_response store_state::watch(const std::string& key, std::uint64_t after, time_point deadline)
{
    lock guard{this->mutex};
    if (!this->begin_call(guard, store_call::watch)) {
        return no_reply;
    }
    while (true) {
        if (this->stopping || this->fault.mode == store_mode::down) {
            return no_reply;
        }
        store_response response = this->read_entry(key);
        if (response.version > after) {
            return response;
        }
        if (boot_clock::now() >= deadline) {
            return {true, 304, response.version, ""};
        }
        this->changed.wait_for(guard, time_until(this->next_expiry(deadline)));
        this->expire_leases();
    }
}

store_response store_state::grant_lease(std::chrono::milliseconds ttl)
{
    lock guard{this->mutex};
    if (!this->begin_call(guard, store_call::lease)) {
        return no_reply;
    }
    const std::uint64_t id = ++this->last_lease;
    this->leases[id] = {ttl, boot_clock::now() + ttl};
    return this->finish_write({true, 200, id, ""});
}

store_response store_state::renew_lease(std::uint64_t id)
{
    lock guard{this->mutex};
    if (!this->begin_call(guard, store_call::renew)) {
        return no_reply;
    }
    const auto found = this->leases.find(id);
    if (found == this->leases.end()) {
        return {true, 404, 0, ""};
    }
    found->second.deadline = boot_clock::now() + found->second.ttl;
    return this->finish_write({true, 200, id, ""});
}

void store_state::set_fault(const store_fault& new_fault)
{
    const lock guard{this->mutex};
    if (new_fault.mode == store_mode::stale) {
        this->stale_entries = this->entries;
    }
    this->fault = new_fault;
    this->changed.notify_all();
}

std::map<std::string, std::uint64_t> store_state::calls() const
{
    const lock guard{this->mutex};
    std::map<std::string, std::uint64_t> counts_by_name;
    for (const auto& [call, count] : this->call_counts) {
        counts_by_name[to_name(call)] = count;
    }
    return counts_by_name;
}

void store_state::stop()
{
    const lock guard{this->mutex};
    this->stopping = true;
    this->changed.notify_all();
}

void store_state::resume()
{
    const lock guard{this->mutex};
    this->stopping = false;
}

void store_state::remove_entry(entry& removed)
{
    removed = {"", removed.version + 1, false, 0};
}

void store_state::expire_leases()
{
    const time_point now = boot_clock::now();
    for (auto found = this->leases.begin(); found != this->leases.end();) {
        if (found->second.deadline > now) {
            ++found;
            continue;
        }
        for (auto& [key, value] : this->entries) {
            if (value.lease_id == found->first) {
                this->remove_entry(value);
            }
        }
        found = this->leases.erase(found);
    }
}

time_point store_state::next_expiry(time_point deadline) const
{
    for (const auto& [id, granted] : this->leases) {
        deadline = std::min(deadline, granted.deadline);
    }
    return deadline;
}

} // namespace dragonflyroad::standin
