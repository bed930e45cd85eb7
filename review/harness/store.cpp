#include "review/harness/store.hpp"

#include <openssl/evp.h>

namespace review {
namespace {

using nlohmann::json;
using clock = std::chrono::steady_clock;
using status = boost::beast::http::status;

std::string encode_base64(const std::string& bytes)
{
    std::vector<unsigned char> input(bytes.begin(), bytes.end());
    std::vector<unsigned char> text(4 * ((bytes.size() + 2) / 3) + 1);
    const int size = EVP_EncodeBlock(text.data(), input.data(), static_cast<int>(input.size()));
    return {text.begin(), text.begin() + size};
}

std::string decode_percent(const std::string& text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        }
        else {
            decoded += text[at];
        }
    }
    return decoded;
}

std::string parameter(const std::string& query, const std::string& name)
{
    std::size_t begin = 0;
    while (begin < query.size()) {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        const std::string part = query.substr(begin, end - begin);
        if (part.starts_with(name + '=')) {
            return decode_percent(part.substr(name.size() + 1));
        }
        begin = end + 1;
    }
    return {};
}

std::uint64_t number(const std::string& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

std::chrono::milliseconds parse_time(const std::string& text)
{
    const double value = std::stod(text);
    const bool is_milliseconds = text.ends_with("ms");
    return std::chrono::milliseconds{
        static_cast<std::int64_t>(value * (is_milliseconds ? 1 : 1000))};
}

response make_response(status code, const json& body)
{
    response answer{code, 11};
    answer.set("Content-Type", "application/json");
    answer.body() = body.dump();
    answer.prepare_payload();
    return answer;
}

} // namespace

store::store()
    : server([this](connection& link, const request& received) {
          return this->handle(link, received);
      })
{
}

void store::start(const std::string& address)
{
    this->server.start(address);
    this->expiry = std::thread{[this] { this->expire(); }};
}

void store::stop()
{
    {
        const std::lock_guard lock{this->mutex};
        this->is_stopping = true;
    }
    this->changed.notify_all();
    if (this->expiry.joinable()) {
        this->expiry.join();
    }
    this->server.stop();
}

void store::configure(const json& configuration)
{
    const std::lock_guard lock{this->mutex};
    this->put("op/config", encode_base64(configuration.dump()), 0, ++this->revision);
    this->changed.notify_all();
}

std::vector<std::string> store::keys(const std::string& prefix)
{
    const std::lock_guard lock{this->mutex};
    std::vector<std::string> found;
    for (const auto& [key, kept] : this->items) {
        if (key.starts_with(prefix)) {
            found.push_back(key);
        }
    }
    return found;
}

bool store::handle(connection& link, const request& received)
{
    response answer = this->answer_call(received);
    return link.write(answer);
}

response store::answer_call(const request& received)
{
    const std::string target{received.target()};
    const std::size_t mark = std::min(target.find('?'), target.size());
    const std::string path = target.substr(0, mark);
    const std::string query = mark < target.size() ? target.substr(mark + 1) : "";
    if (path == "/kv-key") {
        return this->read_key(query);
    }
    if (path == "/kv-range") {
        return this->read_range(query);
    }
    if (path == "/kv-watch") {
        return this->watch(query);
    }
    if (path == "/kv-txn") {
        return this->commit(received.body());
    }
    if (path == "/kv-lease") {
        return this->grant(received.body());
    }
    const std::string keep_path = "/kv-keep/";
    if (path.starts_with(keep_path)) {
        return this->keep(number(path.substr(keep_path.size())));
    }
    const std::string end_path = "/kv-lease-end/";
    if (path.starts_with(end_path)) {
        const std::lock_guard lock{this->mutex};
        this->end(number(path.substr(end_path.size())));
        return make_response(status::ok, json::object());
    }
    return make_response(status::not_found, json::object());
}

json store::row(const std::string& key, const item& found)
{
    return {{"key", key},
            {"value", found.value},
            {"revision", found.revision},
            {"created_at", found.created_at},
            {"lease", found.lease}};
}

response store::read_key(const std::string& query)
{
    const std::lock_guard lock{this->mutex};
    const auto found = this->items.find(parameter(query, "key"));
    if (found == this->items.end()) {
        return make_response(status::not_found, {{"current_rev", this->revision}});
    }
    json body = row(found->first, found->second);
    body["current_rev"] = this->revision;
    return make_response(status::ok, body);
}

response store::read_range(const std::string& query)
{
    const std::lock_guard lock{this->mutex};
    const std::string prefix = parameter(query, "prefix");
    const std::string after = parameter(query, "after");
    json rows = json::array();
    for (const auto& [key, kept] : this->items) {
        if (key.starts_with(prefix) && key > after) {
            rows.push_back(row(key, kept));
        }
    }
    return make_response(
        status::ok,
        {{"items", std::move(rows)}, {"has_more", false}, {"current_rev", this->revision}});
}

response store::watch(const std::string& query)
{
    std::unique_lock lock{this->mutex};
    const std::string prefix = parameter(query, "prefix");
    const std::uint64_t after = number(parameter(query, "after"));
    const auto until =
        clock::now() + std::chrono::milliseconds{number(parameter(query, "wait_ms"))};
    json found = json::array();
    while (true) {
        for (const json& event : this->events) {
            if (event.at("revision").get<std::uint64_t>() > after &&
                event.at("key").get<std::string>().starts_with(prefix)) {
                found.push_back(event);
            }
        }
        if (!found.empty() || this->is_stopping ||
            this->changed.wait_until(lock, until) == std::cv_status::timeout) {
            break;
        }
    }
    return make_response(status::ok,
                         {{"events", std::move(found)}, {"current_rev", this->revision}});
}

response store::commit(const std::string& body)
{
    const std::lock_guard lock{this->mutex};
    const json call = json::parse(body);
    json current = json::array();
    bool holds = true;
    for (const json& condition : call.value("expected_revision", json::array())) {
        const auto key = condition.at("key").get<std::string>();
        const auto found = this->items.find(key);
        const std::uint64_t known = found == this->items.end() ? 0 : found->second.revision;
        holds = holds && known == condition.at("revision").get<std::uint64_t>();
        if (found != this->items.end()) {
            current.push_back(row(key, found->second));
        }
    }
    if (!holds) {
        return make_response(status::precondition_failed, {{"items", std::move(current)}});
    }
    for (const json& write : call.value("writes", json::array())) {
        const std::uint64_t used = write.value("lease", std::uint64_t{0});
        if (used != 0 && !this->leases.contains(used)) {
            return make_response(status::not_found, json::object());
        }
    }
    const std::uint64_t next = ++this->revision;
    for (const json& write : call.value("writes", json::array())) {
        this->put(write.at("key").get<std::string>(), write.at("value").get<std::string>(),
                  write.value("lease", std::uint64_t{0}), next);
    }
    for (const json& key : call.value("remove", json::array())) {
        this->remove(key.get<std::string>(), next);
    }
    this->changed.notify_all();
    return make_response(status::ok, {{"revision", next}});
}

response store::grant(const std::string& body)
{
    const std::lock_guard lock{this->mutex};
    const auto wanted = json::parse(body).at("ttl_time").get<std::string>();
    const auto time_to_live = std::max(parse_time(wanted), std::chrono::milliseconds{1000});
    const std::uint64_t id = ++this->last_lease;
    this->leases[id] = {time_to_live, clock::now() + time_to_live};
    return make_response(
        status::ok, {{"lease", id}, {"ttl_time", std::to_string(time_to_live.count()) + "ms"}});
}

response store::keep(std::uint64_t id)
{
    const std::lock_guard lock{this->mutex};
    const auto found = this->leases.find(id);
    if (found == this->leases.end()) {
        return make_response(status::not_found, json::object());
    }
    found->second.expires_at = clock::now() + found->second.time_to_live;
    return make_response(
        status::ok,
        {{"lease", id}, {"ttl_time", std::to_string(found->second.time_to_live.count()) + "ms"}});
}

void store::put(const std::string& key, const std::string& value, std::uint64_t lease_id,
                std::uint64_t next)
{
    item& kept = this->items[key];
    kept.created_at = kept.created_at == 0 ? next : kept.created_at;
    kept.value = value;
    kept.revision = next;
    kept.lease = lease_id;
    this->events.push_back(row(key, kept));
}

void store::remove(const std::string& key, std::uint64_t next)
{
    if (this->items.erase(key) > 0) {
        this->events.push_back({{"key", key}, {"revision", next}, {"tombstone", true}});
    }
}

void store::end(std::uint64_t id)
{
    if (this->leases.erase(id) == 0) {
        return;
    }
    const std::uint64_t next = ++this->revision;
    std::vector<std::string> attached;
    for (const auto& [key, kept] : this->items) {
        if (kept.lease == id) {
            attached.push_back(key);
        }
    }
    for (const std::string& key : attached) {
        this->remove(key, next);
    }
    this->changed.notify_all();
}

void store::expire()
{
    std::unique_lock lock{this->mutex};
    while (!this->is_stopping) {
        std::vector<std::uint64_t> ended;
        for (const auto& [id, held] : this->leases) {
            if (clock::now() >= held.expires_at) {
                ended.push_back(id);
            }
        }
        for (const std::uint64_t id : ended) {
            this->end(id);
        }
        this->changed.wait_for(lock, std::chrono::milliseconds{20});
    }
}

} // namespace review
