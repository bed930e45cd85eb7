#include "store.hpp"

#include "record.hpp"

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

using nlohmann::json;

constexpr milliseconds lease_check_interval{20};
constexpr milliseconds longest_idle_time{60'000};
constexpr std::size_t max_commit_entries = 32;

milliseconds parse_time(const std::string& text)
{
    const double number = std::strtod(text.c_str(), nullptr);
    return milliseconds{static_cast<std::int64_t>(text.ends_with("ms") ? number : number * 1000)};
}

std::uint64_t number_in(const std::map<std::string, std::string>& fields, const std::string& name)
{
    const auto found = fields.find(name);
    return found == fields.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

} // namespace

std::string encode_base64(const std::string& bytes)
{
    static constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t index = 0; index < 3; ++index) {
            group =
                group << 8U | (index < count ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += index <= count ? digits[group >> (18 - 6 * index) & 63U] : '=';
        }
    }
    return text;
}

platform_store::platform_store()
{
    std::thread{[this] {
        while (true) {
            std::this_thread::sleep_for(lease_check_interval);
            const std::lock_guard lock{this->guard};
            this->expire_leases();
        }
    }}.detach();
}

bool platform_store::add_door(const std::string& machine, const address& local)
{
    this->doors[machine] = door_state::open;
    return serve(local, [this, machine](connection& caller) { this->handle(machine, caller); }) >=
           0;
}

void platform_store::set_door(const std::string& machine, door_state state)
{
    const std::lock_guard lock{this->guard};
    this->doors[machine] = state;
    this->changed.notify_all();
}

void platform_store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock{this->guard};
    this->write(key, encode_base64(value), 0);
    record("store: " + key + " is written, revision " + std::to_string(this->now.revision));
}

void platform_store::copy()
{
    const std::lock_guard lock{this->guard};
    this->older = this->now;
    record("store: a copy is kept, revision " + std::to_string(this->now.revision));
}

void platform_store::go_back(milliseconds away)
{
    for (const auto& [machine, state] : std::map{this->doors}) {
        this->set_door(machine, door_state::silent);
    }
    record("store: takes no calls");
    std::this_thread::sleep_for(away);
    {
        const std::lock_guard lock{this->guard};
        this->now = this->older;
        for (auto& [lease, known] : this->now.leases) {
            known.until = after(known.time_to_live);
        }
        ++this->era;
        record("store: is back from the copy, era " + std::to_string(this->era));
    }
    for (const auto& [machine, state] : std::map{this->doors}) {
        this->set_door(machine, door_state::open);
    }
}

bool platform_store::has(const std::string& key)
{
    const std::lock_guard lock{this->guard};
    return this->now.items.contains(key);
}

void platform_store::handle(const std::string& machine, connection& caller)
{
    message call;
    while (caller.read(call, after(longest_idle_time)) == read_outcome::complete) {
        if (!this->answer(machine, call, caller)) {
            return;
        }
    }
}

bool platform_store::answer(const std::string& machine, const message& call, connection& caller)
{
    std::pair<int, json> result;
    {
        std::unique_lock lock{this->guard};
        if (this->doors[machine] == door_state::silent) {
            // A connection on which a response is lost returns nothing further.
            this->changed.wait(lock, [&] { return this->doors[machine] != door_state::silent; });
            return false;
        }
        result = this->doors[machine] == door_state::busy ? std::pair{503, json::object()}
                                                          : std::pair{0, json::object()};
    }
    if (result.first == 0) {
        result = this->execute(call);
    }
    {
        const std::lock_guard lock{this->guard};
        if (this->doors[machine] == door_state::silent) {
            return false;
        }
    }
    message response;
    response.start_line = "HTTP/1.1 " + std::to_string(result.first) + " Status";
    response.headers = {{"Content-Type", "application/json"}};
    if (this->states_era) {
        response.headers.emplace_back("Store-Era", std::to_string(this->era));
    }
    response.body = result.second.dump();
    return caller.send(response.bytes());
}

std::pair<int, json> platform_store::execute(const message& call)
{
    const std::string target = call.target();
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/kv-watch") {
        return this->watch(target);
    }
    if (path == "/kv-range") {
        return this->range(target);
    }
    if (path == "/kv-txn") {
        return this->commit(call.body);
    }
    if (path == "/kv-key") {
        const std::lock_guard lock{this->guard};
        const auto found = this->now.items.find(query_fields(target)["key"]);
        return found == this->now.items.end()
                   ? std::pair{404, json::object()}
                   : std::pair{200, this->row(found->first, found->second)};
    }
    return this->change_lease(call);
}

json platform_store::row(const std::string& key, const item& stored) const
{
    return {{"key", key},
            {"value", stored.value},
            {"revision", stored.revision},
            {"created_at", stored.created_at},
            {"lease", stored.lease},
            {"current_rev", this->now.revision}};
}

std::pair<int, json> platform_store::range(const std::string& target)
{
    constexpr std::size_t page = 500;
    auto fields = query_fields(target);
    const std::lock_guard lock{this->guard};
    json rows = json::array();
    bool has_more = false;
    for (const auto& [key, stored] : this->now.items) {
        if (key.starts_with(fields["prefix"]) && key > fields["after"]) {
            has_more = rows.size() == page;
            if (has_more) {
                break;
            }
            rows.push_back(this->row(key, stored));
        }
    }
    return {200, {{"items", rows}, {"has_more", has_more}, {"current_rev", this->now.revision}}};
}

std::pair<int, json> platform_store::watch(const std::string& target)
{
    auto fields = query_fields(target);
    const std::uint64_t since = number_in(fields, "after");
    const auto until = after(milliseconds{number_in(fields, "wait_ms")});
    std::unique_lock lock{this->guard};
    const std::uint64_t begun_in = this->era;
    json events = json::array();
    const auto collect = [&] {
        for (const json& event : this->now.history) {
            const bool is_new = event.at("revision").get<std::uint64_t>() > since;
            if (is_new && event.at("key").get<std::string>().starts_with(fields["prefix"])) {
                events.push_back(event);
            }
        }
        return !events.empty() || this->era != begun_in;
    };
    if (since <= this->now.revision) {
        this->changed.wait_until(lock, until, collect);
    }
    if (since > this->now.revision || this->era != begun_in) {
        return {410, json::object()};
    }
    return {200, {{"events", events}, {"current_rev", this->now.revision}}};
}

std::pair<int, json> platform_store::commit(const std::string& body)
{
    const json request = json::parse(body);
    const json conditions = request.value("expected_revision", json::array());
    const json writes = request.value("writes", json::array());
    const json removals = request.value("remove", json::array());
    const std::lock_guard lock{this->guard};
    this->expire_leases();
    if (conditions.size() + writes.size() + removals.size() > max_commit_entries) {
        return {400, json::object()};
    }
    for (const json& condition : conditions) {
        const auto found = this->now.items.find(condition.at("key").get<std::string>());
        const std::uint64_t present = found == this->now.items.end() ? 0 : found->second.revision;
        if (present != condition.at("revision").get<std::uint64_t>()) {
            return {412, {{"items", json::array()}}};
        }
    }
    for (const json& wanted : writes) {
        const auto lease = wanted.value("lease", std::uint64_t{0});
        if (lease != 0 && !this->now.leases.contains(lease)) {
            return {404, json::object()};
        }
    }
    for (const json& wanted : writes) {
        this->write(wanted.at("key"), wanted.at("value"), wanted.value("lease", std::uint64_t{0}));
    }
    for (const json& key : removals) {
        this->remove(key.get<std::string>());
    }
    return {200, {{"revision", this->now.revision}}};
}

std::pair<int, json> platform_store::change_lease(const message& call)
{
    const std::lock_guard lock{this->guard};
    this->expire_leases();
    const std::string target = call.target();
    if (target == "/kv-lease") {
        const std::string time = json::parse(call.body).at("ttl_time");
        this->now.leases[++this->now.last_lease] = {parse_time(time), after(parse_time(time))};
        return {200, {{"lease", this->now.last_lease}, {"ttl_time", time}}};
    }
    const auto lease = std::strtoull(target.substr(target.rfind('/') + 1).c_str(), nullptr, 10);
    const auto found = this->now.leases.find(lease);
    if (found == this->now.leases.end()) {
        return {404, json::object()};
    }
    const milliseconds time = found->second.time_to_live;
    found->second.until = call.method() == "DELETE" ? steady::now() : after(time);
    this->expire_leases();
    return {200, {{"ttl_time", std::to_string(time.count()) + "ms"}}};
}

void platform_store::write(const std::string& key, const std::string& value, std::uint64_t lease)
{
    item& stored = this->now.items[key];
    stored.value = value;
    stored.revision = ++this->now.revision;
    stored.created_at = stored.created_at == 0 ? stored.revision : stored.created_at;
    stored.lease = lease;
    this->now.history.push_back(this->row(key, stored));
    this->changed.notify_all();
}

void platform_store::remove(const std::string& key)
{
    if (this->now.items.erase(key) > 0) {
        this->now.history.push_back(
            {{"key", key}, {"revision", ++this->now.revision}, {"tombstone", true}});
        this->changed.notify_all();
    }
}

void platform_store::expire_leases()
{
    std::erase_if(this->now.leases,
                  [](const auto& lease) { return lease.second.until <= steady::now(); });
    std::vector<std::string> ended;
    for (const auto& [key, stored] : this->now.items) {
        if (stored.lease != 0 && !this->now.leases.contains(stored.lease)) {
            ended.push_back(key);
        }
    }
    for (const std::string& key : ended) {
        this->remove(key);
    }
}

} // namespace review
