#include "kv_standin.hpp"

#include "platform/wire_values.hpp"

#include <algorithm>
#include <memory>
#include <sstream>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

using namespace dragonflyroad;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds watch_interval{20};

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

std::map<std::string, std::string> parse_query(const std::string& target)
{
    std::map<std::string, std::string> fields;
    std::istringstream rest{target.substr(std::min(target.size(), target.find('?') + 1))};
    for (std::string pair; std::getline(rest, pair, '&');) {
        const std::size_t equals = std::min(pair.find('='), pair.size() - 1);
        fields[pair.substr(0, equals)] = unescape(pair.substr(equals + 1));
    }
    return fields;
}

json row(const std::string& key, const kv_standin::item& stored)
{
    json fields{{"key", key}, {"revision", stored.revision}};
    if (stored.is_removed) {
        fields["tombstone"] = true;
    }
    else {
        fields["value"] = platform::encode_base64(stored.value);
        fields["lease"] = stored.lease;
    }
    return fields;
}

} // namespace

kv_standin::kv_standin(boost::asio::io_context& loop)
    : context(loop),
      server(loop, server_callbacks{[this](const http_request& request, time_point,
                                           const response_function& answer) {
                                        return this->serve(request, answer);
                                    },
                                    [](const request_head&) { return false; },
                                    [](decode_state) {
                                        return http_response{400, {}, "", false};
                                    },
                                    [] { return caller_limits{}; }})
{
}

http_response kv_standin::respond(int status, const json& body) const
{
    return {status,
            {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(this->era)}},
            body.dump(),
            true};
}

void kv_standin::put(const std::string& key, const std::string& value, store_lease lease)
{
    this->now_stored.items[key] = {value, ++this->now_stored.revision, lease, false};
}

std::optional<std::string> kv_standin::value(const std::string& key) const
{
    const auto found = this->now_stored.items.find(key);
    return found == this->now_stored.items.end() || found->second.is_removed
               ? std::nullopt
               : std::optional{found->second.value};
}

std::size_t kv_standin::count(const std::string& prefix) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->now_stored.items, [&](const auto& entry) {
            return entry.first.starts_with(prefix) && !entry.second.is_removed;
        }));
}

void kv_standin::expire_leases()
{
    std::erase_if(this->now_stored.leases,
                  [](const auto& lease) { return lease.second.until <= boot_clock::now(); });
    for (auto& [key, stored] : this->now_stored.items) {
        if (stored.lease != 0 && !this->now_stored.leases.contains(stored.lease)) {
            stored = {"", ++this->now_stored.revision, 0, true};
        }
    }
}

std::shared_ptr<served_request> kv_standin::serve(const http_request& request,
                                                  const response_function& answer)
{
    this->expire_leases();
    const std::string& target = request.head.target;
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/kv-watch") {
        const query fields = parse_query(target);
        const std::chrono::milliseconds wait{std::stoi(fields.at("wait_ms"))};
        this->watch(fields, boot_clock::now() + wait, answer);
    }
    else if (path == "/kv-range") {
        answer(this->range(parse_query(target)));
    }
    else if (path == "/kv-txn") {
        answer(this->commit(json::parse(request.body)));
    }
    else {
        answer(this->change_lease(request.head.method, path, request.body));
    }
    return nullptr;
}

http_response kv_standin::range(const query& fields) const
{
    json rows = json::array();
    for (const auto& [key, stored] : this->now_stored.items) {
        if (key.starts_with(fields.at("prefix")) && !stored.is_removed) {
            rows.push_back(row(key, stored));
        }
    }
    return this->respond(
        200, {{"items", rows}, {"has_more", false}, {"current_rev", this->now_stored.revision}});
}

void kv_standin::watch(const query& fields, time_point until, const response_function& answer)
{
    this->expire_leases();
    const store_revision after = std::stoull(fields.at("after"));
    if (after > this->now_stored.revision) {
        answer(this->respond(410, json::object()));
        return;
    }
    json events = json::array();
    for (const auto& [key, stored] : this->now_stored.items) {
        if (key.starts_with(fields.at("prefix")) && stored.revision > after) {
            events.push_back(row(key, stored));
        }
    }
    if (!events.empty() || boot_clock::now() >= until) {
        answer(
            this->respond(200, {{"events", events}, {"current_rev", this->now_stored.revision}}));
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->context, watch_interval);
    timer->async_wait([this, timer, fields, until, answer](const boost::system::error_code&) {
        this->watch(fields, until, answer);
    });
}

http_response kv_standin::commit(const json& body)
{
    for (const json& condition : body.at("expected_revision")) {
        const auto found = this->now_stored.items.find(condition.at("key").get<std::string>());
        const bool is_present = found != this->now_stored.items.end() && !found->second.is_removed;
        if ((is_present ? found->second.revision : 0) != condition.at("revision")) {
            return this->respond(412, {{"items", json::array()}});
        }
    }
    for (const json& write : body.at("writes")) {
        if (const auto lease = write.value("lease", store_lease{0});
            lease != 0 && !this->now_stored.leases.contains(lease)) {
            return this->respond(404, json::object());
        }
    }
    for (const json& write : body.at("writes")) {
        this->put(write.at("key"),
                  platform::decode_base64(write.at("value").get<std::string>()).value_or(""),
                  write.value("lease", store_lease{0}));
    }
    for (const json& key : body.at("remove")) {
        this->now_stored.items[key] = {"", ++this->now_stored.revision, 0, true};
    }
    return this->respond(200, {{"revision", this->now_stored.revision}});
}

http_response kv_standin::change_lease(const std::string& method, const std::string& path,
                                       const std::string& body)
{
    const time_point now = boot_clock::now();
    if (path == "/kv-lease") {
        const auto wanted =
            platform::parse_time(json::parse(body).at("ttl_time").get<std::string>());
        const store_lease granted = ++this->now_stored.last_lease;
        this->now_stored.leases[granted] = {*wanted, now + *wanted};
        return this->respond(200,
                             {{"lease", granted}, {"ttl_time", platform::format_time(*wanted)}});
    }
    const store_lease lease = std::stoull(path.substr(path.rfind('/') + 1));
    const auto found = this->now_stored.leases.find(lease);
    if (found == this->now_stored.leases.end()) {
        return this->respond(404, json::object());
    }
    found->second.until = method == "DELETE" ? now : now + found->second.time_to_live;
    this->expire_leases();
    return this->respond(200, json::object());
}
