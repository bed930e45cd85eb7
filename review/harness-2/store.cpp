#include "store.hpp"

#include <algorithm>
#include <array>
#include <thread>

namespace review2 {
namespace {

using nlohmann::json;

constexpr std::string_view base64_digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& bytes)
{
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t index = 0; index < 3; ++index) {
            group <<= 8U;
            group |= index < count ? static_cast<unsigned char>(bytes[at + index]) : 0U;
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += index <= count ? base64_digits[(group >> (18U - 6U * index)) & 63U] : '=';
        }
    }
    return text;
}

std::string from_base64(const std::string& text)
{
    std::string bytes;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const char character : text) {
        const std::size_t digit = base64_digits.find(character);
        if (digit == std::string_view::npos) {
            break;
        }
        group = (group << 6U) | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>((group >> bits) & 255U);
        }
    }
    return bytes;
}

std::string unescape(const std::string& text)
{
    std::string plain;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            plain += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        }
        else {
            plain += text[at];
        }
    }
    return plain;
}

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> query;
    std::size_t begin = target.find('?');
    while (begin != std::string::npos) {
        const std::size_t end = target.find('&', begin + 1);
        const std::string pair = target.substr(begin + 1, end - begin - 1);
        const std::size_t equals = pair.find('=');
        query[pair.substr(0, equals)] = unescape(pair.substr(equals + 1));
        begin = end;
    }
    return query;
}

std::uint64_t number(const std::string& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

std::uint64_t last_number(const std::string& target)
{
    return number(target.substr(target.rfind('/') + 1));
}

} // namespace

void store::start(const endpoint& place)
{
    serve(place, [this](connection& peer) { this->handle(peer); });
    std::thread{[this] {
        while (true) {
            std::this_thread::sleep_for(milliseconds{20});
            this->expire();
        }
    }}.detach();
}

void store::put(const std::string& key, const std::string& value)
{
    const std::scoped_lock lock{this->mutex};
    ++this->revision;
    this->write(key, to_base64(value), 0);
}

std::string store::get(const std::string& key)
{
    const std::scoped_lock lock{this->mutex};
    const auto found = this->items.find(key);
    return found == this->items.end() ? std::string{} : from_base64(found->second.value);
}

std::vector<std::string> store::keys(const std::string& prefix)
{
    const std::scoped_lock lock{this->mutex};
    std::vector<std::string> found;
    for (const auto& [key, stored] : this->items) {
        if (key.starts_with(prefix)) {
            found.push_back(key);
        }
    }
    return found;
}

void store::lose_writes(loss_function function)
{
    const std::scoped_lock lock{this->mutex};
    this->loss = std::move(function);
}

void store::handle(connection& peer)
{
    while (const auto request = peer.receive(steady::now() + std::chrono::minutes{5})) {
        const json body = json::parse(request->body, nullptr, false);
        std::optional<milliseconds> late;
        if (request->target() == "/kv-txn") {
            const std::scoped_lock lock{this->mutex};
            late = this->loss ? this->loss(body) : std::nullopt;
        }
        if (late) {
            this->journal.add("store", "loses the answer of a write and does it " +
                                           std::to_string(late->count()) + " ms late");
            std::this_thread::sleep_for(*late);
            const answer done = this->dispatch(*request);
            this->journal.add("store", "did the late write, status " + std::to_string(done.status));
            peer.closes_within(std::chrono::minutes{1});
            return;
        }
        const answer done = this->dispatch(*request);
        if (!peer.send(encode_response(done.status, {{"Content-Type", "application/json"}},
                                       done.body.dump()))) {
            return;
        }
    }
}

store::answer store::dispatch(const message& request)
{
    const std::string target = request.target();
    const json body = json::parse(request.body, nullptr, false);
    if (target.starts_with("/kv-watch")) {
        return this->watch(query_of(target));
    }
    const std::scoped_lock lock{this->mutex};
    if (target.starts_with("/kv-range")) {
        return this->range(query_of(target));
    }
    if (target == "/kv-txn") {
        return this->commit(body);
    }
    if (target == "/kv-lease") {
        return this->grant(body);
    }
    if (target.starts_with("/kv-keep/")) {
        return this->keep(last_number(target));
    }
    if (target.starts_with("/kv-lease-end/")) {
        return this->end(last_number(target));
    }
    if (target.starts_with("/kv-key")) {
        const auto found = this->items.find(query_of(target)["key"]);
        return found == this->items.end() ? answer{404, json::object()}
                                          : answer{200, this->row_of(found->first, found->second)};
    }
    return {404, json::object()};
}

json store::row_of(const std::string& key, const item& stored) const
{
    return {{"key", key},
            {"value", stored.value},
            {"revision", stored.revision},
            {"created_at", stored.created_at},
            {"lease", stored.lease}};
}

store::answer store::range(const std::map<std::string, std::string>& query)
{
    const auto prefix = query.find("prefix");
    const auto after = query.find("after");
    json rows = json::array();
    for (const auto& [key, stored] : this->items) {
        if ((prefix == query.end() || key.starts_with(prefix->second)) &&
            (after == query.end() || key > after->second)) {
            rows.push_back(this->row_of(key, stored));
        }
    }
    return {200, {{"items", rows}, {"has_more", false}, {"current_rev", this->revision}}};
}

store::answer store::watch(const std::map<std::string, std::string>& query)
{
    const std::string& prefix = query.at("prefix");
    const std::uint64_t after = number(query.at("after"));
    const auto until = steady::now() + milliseconds{number(query.at("wait_ms"))};
    std::unique_lock lock{this->mutex};
    json rows = json::array();
    const auto collect = [&] {
        for (const event& change : this->events) {
            if (change.revision > after &&
                change.row.at("key").get<std::string>().starts_with(prefix)) {
                rows.push_back(change.row);
            }
        }
        return !rows.empty();
    };
    this->changed.wait_until(lock, until, collect);
    return {200, {{"events", rows}, {"current_rev", this->revision}}};
}

store::answer store::commit(const json& write)
{
    json present = json::array();
    bool holds = true;
    for (const json& row : write.value("expected_revision", json::array())) {
        const auto key = row.at("key").get<std::string>();
        const auto found = this->items.find(key);
        const std::uint64_t now = found == this->items.end() ? 0 : found->second.revision;
        holds = holds && now == row.at("revision").get<std::uint64_t>();
        if (found != this->items.end()) {
            present.push_back(this->row_of(key, found->second));
        }
    }
    if (!holds) {
        return {412, {{"items", present}}};
    }
    const json writes = write.value("writes", json::array());
    for (const json& row : writes) {
        const auto under = row.value("lease", std::uint64_t{0});
        if (under != 0 && !this->leases.contains(under)) {
            return {404, json::object()};
        }
    }
    ++this->revision;
    for (const json& row : writes) {
        this->write(row.at("key"), row.at("value"), row.value("lease", std::uint64_t{0}));
    }
    for (const json& key : write.value("remove", json::array())) {
        this->remove(key);
    }
    return {200, {{"revision", this->revision}}};
}

store::answer store::grant(const json& wanted)
{
    const auto text = wanted.at("ttl_time").get<std::string>();
    const bool is_ms = text.ends_with("ms");
    const double count = std::stod(text);
    const milliseconds time{static_cast<std::int64_t>(is_ms ? count : count * 1000)};
    const std::uint64_t id = ++this->last_lease;
    this->leases[id] = {time, steady::now() + time};
    return {200, {{"lease", id}, {"ttl_time", std::to_string(time.count()) + "ms"}}};
}

store::answer store::keep(std::uint64_t id)
{
    const auto found = this->leases.find(id);
    if (found == this->leases.end()) {
        return {404, json::object()};
    }
    found->second.ends_at = steady::now() + found->second.time;
    return {200, json::object()};
}

store::answer store::end(std::uint64_t id)
{
    if (!this->leases.contains(id)) {
        return {404, json::object()};
    }
    this->remove_lease(id);
    return {200, json::object()};
}

void store::write(const std::string& key, const std::string& encoded, std::uint64_t under)
{
    item& stored = this->items[key];
    stored.created_at = stored.created_at == 0 ? this->revision : stored.created_at;
    stored.value = encoded;
    stored.revision = this->revision;
    stored.lease = under;
    this->events.push_back({this->revision, this->row_of(key, stored)});
    this->changed.notify_all();
}

void store::remove(const std::string& key)
{
    if (this->items.erase(key) > 0) {
        this->events.push_back(
            {this->revision, {{"key", key}, {"revision", this->revision}, {"tombstone", true}}});
        this->changed.notify_all();
    }
}

void store::remove_lease(std::uint64_t id)
{
    this->leases.erase(id);
    ++this->revision;
    std::vector<std::string> ended;
    for (const auto& [key, stored] : this->items) {
        if (stored.lease == id) {
            ended.push_back(key);
        }
    }
    for (const std::string& key : ended) {
        this->remove(key);
    }
}

void store::expire()
{
    const std::scoped_lock lock{this->mutex};
    std::vector<std::uint64_t> ended;
    for (const auto& [id, known] : this->leases) {
        if (steady::now() >= known.ends_at) {
            ended.push_back(id);
        }
    }
    for (const std::uint64_t id : ended) {
        this->remove_lease(id);
    }
}

} // namespace review2
