#include "test/clients/store_stand_in.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <openssl/evp.h>

namespace dragonflyroad::test {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds watch_interval{50};

std::string encode_base64(const std::string& bytes)
{
    const std::vector<unsigned char> input(bytes.begin(), bytes.end());
    std::vector<unsigned char> text((4 * ((bytes.size() + 2) / 3)) + 1);
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

std::string parameter(const std::string& target, const std::string& name)
{
    std::size_t begin = target.find('?');
    while (begin != std::string::npos) {
        const std::size_t end = std::min(target.find('&', begin + 1), target.size());
        const std::string part = target.substr(begin + 1, end - begin - 1);
        if (part.starts_with(name + '=')) {
            return decode_percent(part.substr(name.size() + 1));
        }
        begin = end < target.size() ? end : std::string::npos;
    }
    return {};
}

std::uint64_t number(const std::string& text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

http_response make_response(int status, const json& body)
{
    http_response answer;
    answer.status = status;
    answer.headers = {{"Content-Type", "application/json"}};
    answer.body = body.dump();
    return answer;
}

server_callbacks make_callbacks(
    std::function<std::shared_ptr<served_request>(const http_request&, const response_function&)>
        serve)
{
    server_callbacks functions;
    functions.serve = [serve = std::move(serve)](const http_request& request, time_point,
                                                 const response_function& answer) {
        return serve(request, answer);
    };
    functions.may_pipeline = [](const request_head&) { return false; };
    functions.reject = [](decode_state) { return make_response(400, json::object()); };
    functions.limits = [] { return caller_limits{}; };
    return functions;
}

} // namespace

store_stand_in::store_stand_in(boost::asio::io_context& loop)
    : context(loop),
      server(loop,
             make_callbacks([this](const http_request& request, const response_function& answer) {
                 return this->serve(request, answer);
             }))
{
}

void store_stand_in::configure(const json& configuration)
{
    this->put("op/config", encode_base64(configuration.dump()), 0);
}

std::shared_ptr<served_request> store_stand_in::serve(const http_request& request,
                                                      const response_function& answer)
{
    const std::string& target = request.head.target;
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/kv-watch") {
        const std::chrono::milliseconds wait{number(parameter(target, "wait_ms"))};
        this->watch(parameter(target, "prefix"), number(parameter(target, "after")),
                    boot_clock::now() + wait, answer);
    }
    else if (path == "/kv-key") {
        answer(this->read_key(parameter(target, "key")));
    }
    else if (path == "/kv-range") {
        answer(this->read_range(parameter(target, "prefix"), parameter(target, "after")));
    }
    else if (path == "/kv-txn") {
        answer(this->commit(std::string{request.body}));
    }
    else {
        answer(make_response(200, {{"lease", ++this->last_lease}, {"ttl_time", "10s"}}));
    }
    return nullptr;
}

http_response store_stand_in::read_key(const std::string& key) const
{
    const auto found = this->items.find(key);
    if (found == this->items.end()) {
        return make_response(404, {{"current_rev", this->revision}});
    }
    return make_response(200, {{"key", key},
                               {"value", found->second.value},
                               {"revision", found->second.revision},
                               {"created_at", found->second.created_at},
                               {"lease", found->second.lease},
                               {"current_rev", this->revision}});
}

http_response store_stand_in::read_range(const std::string& prefix, const std::string& after) const
{
    json rows = json::array();
    for (const auto& [key, kept] : this->items) {
        if (key.starts_with(prefix) && key > after) {
            rows.push_back({{"key", key},
                            {"value", kept.value},
                            {"revision", kept.revision},
                            {"created_at", kept.created_at},
                            {"lease", kept.lease}});
        }
    }
    return make_response(
        200, {{"items", std::move(rows)}, {"has_more", false}, {"current_rev", this->revision}});
}

void store_stand_in::watch(std::string prefix, std::uint64_t after, time_point until,
                           const response_function& answer)
{
    json found = json::array();
    for (const json& event : this->events) {
        if (event.at("revision").get<std::uint64_t>() > after &&
            event.at("key").get<std::string>().starts_with(prefix)) {
            found.push_back(event);
        }
    }
    if (!found.empty() || boot_clock::now() >= until) {
        answer(make_response(200, {{"events", std::move(found)}, {"current_rev", this->revision}}));
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->context, watch_interval);
    timer->async_wait([this, timer, prefix = std::move(prefix), after, until,
                       answer](const boost::system::error_code& error) {
        if (!error) {
            this->watch(prefix, after, until, answer);
        }
    });
}

http_response store_stand_in::commit(const std::string& body)
{
    const json call = json::parse(body);
    for (const json& condition : call.value("expected_revision", json::array())) {
        const auto found = this->items.find(condition.at("key").get<std::string>());
        const std::uint64_t known = found == this->items.end() ? 0 : found->second.revision;
        if (known != condition.at("revision").get<std::uint64_t>()) {
            return make_response(412, {{"items", json::array()}});
        }
    }
    for (const json& write : call.value("writes", json::array())) {
        this->put(write.at("key").get<std::string>(), write.at("value").get<std::string>(),
                  write.value("lease", std::uint64_t{0}));
    }
    return make_response(200, {{"revision", this->revision}});
}

void store_stand_in::put(const std::string& key, const std::string& value, std::uint64_t lease)
{
    item& kept = this->items[key];
    ++this->revision;
    kept.created_at = kept.created_at == 0 ? this->revision : kept.created_at;
    kept.value = value;
    kept.revision = this->revision;
    kept.lease = lease;
    this->events.push_back({{"key", key},
                            {"value", value},
                            {"revision", kept.revision},
                            {"created_at", kept.created_at},
                            {"lease", lease}});
}

} // namespace dragonflyroad::test
