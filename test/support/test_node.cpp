#include "test/support/test_node.hpp"

#include "config/change_codec.hpp"
#include "config/codec.hpp"
#include "core/digest.hpp"
#include "node/local_decisions.hpp"
#include "test/support/raw_socket.hpp"

#include <condition_variable>
#include <map>
#include <mutex>

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace dragonflyroad::test {
namespace {

/// Encodes all objects of a configuration as one chunk. A chunk may cover any range of revisions,
/// so the number of objects need not match the revision.
std::string to_chunk(const configuration& config)
{
    chunk_record chunk{config.revision, {}};
    const auto add = [&chunk, &config](const object& value) {
        change entry;
        entry.revision = config.revision;
        entry.id = "test";
        entry.kind = kind_of(value);
        entry.name = name_of(value);
        entry.body = encode_object(value).dump();
        chunk.entries.push_back(entry);
    };
    for (const auto& [name, value] : config.profiles) {
        add(value);
    }
    for (const auto& [name, value] : config.services) {
        add(value);
    }
    for (const auto& [name, value] : config.routes) {
        add(value);
    }
    for (const auto& [id, value] : config.organisations) {
        add(value);
    }
    for (const auto& [digest, value] : config.keys) {
        add(value);
    }
    return encode_chunk(chunk);
}

} // namespace

struct memory_store::shared_state {
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, store_value> values;
    bool ended = false;
};

memory_store::memory_store() : state(std::make_shared<shared_state>()) {}

std::optional<store_value> memory_store::read(const std::string& key, time_point)
{
    const std::scoped_lock lock{this->state->mutex};
    return this->state->values[key];
}

write_result memory_store::write(const std::string& key, const std::string& bytes,
                                 std::uint64_t expected_version, time_point)
{
    const std::scoped_lock lock{this->state->mutex};
    store_value& value = this->state->values[key];
    if (value.version != expected_version) {
        return {write_outcome::conflict, value.version, true};
    }
    value = {bytes, value.version + 1};
    this->state->changed.notify_all();
    return {write_outcome::written, value.version, true};
}

std::optional<store_value> memory_store::watch(const std::string& key, std::uint64_t after,
                                               time_point deadline)
{
    std::unique_lock lock{this->state->mutex};
    this->state->changed.wait_for(lock, deadline - boot_clock::now(), [&] {
        return this->state->ended || this->state->values[key].version > after;
    });
    return this->state->values[key];
}

void memory_store::end_watches()
{
    const std::scoped_lock lock{this->state->mutex};
    this->state->ended = true;
    this->state->changed.notify_all();
}

test_node::test_node()
{
    this->config.revision = 0;
    this->config.profiles[profile_name{"standard"}].name = profile_name{"standard"};
    this->config.services[service_name{"marks"}] = {service_name{"marks"},
                                                    profile_name{"standard"}};
    this->config.routes[route_name{"marks"}] = {
        route_name{"marks"}, "/marks", service_name{"marks"}, {}};
    this->config.organisations.insert_or_assign(organisation_id{"acme"},
                                                {organisation_id{"acme"}, 1000, 1000, 1});
    const std::string digest = sha256_hex("acme-key");
    this->config.keys.insert_or_assign(digest,
                                       {digest, organisation_id{"acme"}, key_state::granted});
    this->decisions.rate = std::make_shared<local_rate_limiter>();
    this->decisions.claims = std::make_shared<local_idempotency_claims>();
    this->settings.id = node_id{"node-1"};
    this->settings.centre = data_centre{"dc-1"};
    this->settings.caller_address = "127.0.0.1:0";
    this->settings.peer_address = "127.0.0.1:0";
    this->settings.admin_address = "127.0.0.1:0";
    this->settings.secret = "secret-of-the-test-fleet-0123456789";
}

test_node::~test_node()
{
    this->values->end_watches();
}

profile& test_node::rules()
{
    return this->config.profiles[profile_name{"standard"}];
}

void test_node::start()
{
    node_builder builder{this->settings};
    builder.with_store(this->values).with_decisions(this->decisions).with_incarnation(0xabc);
    builder.with_leave_time(std::chrono::milliseconds{0});
    this->adjust(builder);
    this->running = builder.start();
    REQUIRE(this->running != nullptr);
    this->publish();
}

void test_node::publish()
{
    ++this->config.revision;
    const revision_number revision = this->config.revision;
    const auto chunk = this->values->write(chunk_key(revision), to_chunk(this->config), 0, {});
    head_record next;
    next.revision = revision;
    next.chunks = {{revision, revision, chunk.version}};
    const auto head = this->values->read(head_key, {});
    this->values->write(head_key, encode_head(next), head->version, {});
    REQUIRE(this->running->wait_for_revision(this->config.revision,
                                             boot_clock::now() + std::chrono::seconds{20}));
}

void test_node::announce(const std::string& address, const std::string& state, int slots)
{
    raw_client client{this->admin()};
    const std::string body = fmt::format(
        R"({{"service":"marks","address":"{}","slots":{},"state":"{}"}})", address, slots, state);
    const auto answer = client.exchange(request_text("POST", "/v1/upstreams", "", body));
    REQUIRE(answer.status == 200);
}

std::string request_text(const std::string& method, const std::string& target,
                         const std::string& headers, const std::string& body)
{
    const std::string length =
        body.empty() ? "" : fmt::format("Content-Length: {}\r\n", body.size());
    return fmt::format("{} {} HTTP/1.1\r\nHost: node\r\n{}{}\r\n{}", method, target, headers,
                       length, body);
}

} // namespace dragonflyroad::test
