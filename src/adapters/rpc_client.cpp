#include "adapters/rpc_client.hpp"

#include "adapters/deadline_watchdog.hpp"
#include "adapters/json_convert.hpp"
#include "adapters/jsonrpc_library.hpp"
#include "core/failure.hpp"

#include <array>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include <httplib.h>
#include <openssl/rand.h>

namespace dragonflyroad {
namespace {

/// Below the 5 s after which a node's server closes an idle connection.
constexpr duration max_idle_time = std::chrono::seconds{3};
constexpr std::size_t max_idle_per_peer = 8;
constexpr std::size_t nonce_bytes = 16;

std::string random_nonce()
{
    std::array<unsigned char, nonce_bytes> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    constexpr std::string_view digits = "0123456789abcdef";
    std::string nonce;
    for (const unsigned char byte : bytes) {
        nonce += digits[byte >> 4U];
        nonce += digits[byte & 15U];
    }
    return nonce;
}

bool is_before_sending(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::BindIPAddress ||
           error == httplib::Error::ConnectionTimeout;
}

} // namespace

/// Pools idle connections by address, with the watchdog that aborts overdue calls.
class rpc_client::connection_pool {
public:
    std::unique_ptr<httplib::Client> acquire(const std::string& address)
    {
        const time_point now = boot_clock::now();
        {
            const std::scoped_lock lock{this->mutex};
            std::vector<idle_connection>& available = this->idle[address];
            std::erase_if(available, [now](const idle_connection& connection) {
                return connection.since + max_idle_time <= now;
            });
            if (!available.empty()) {
                std::unique_ptr<httplib::Client> client = std::move(available.back().client);
                available.pop_back();
                return client;
            }
            std::erase_if(this->idle, [](const auto& known) { return known.second.empty(); });
        }
        auto client = std::make_unique<httplib::Client>("http://" + address);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        return client;
    }

    void release(const std::string& address, std::unique_ptr<httplib::Client> client)
    {
        const std::scoped_lock lock{this->mutex};
        std::vector<idle_connection>& available = this->idle[address];
        if (available.size() < max_idle_per_peer) {
            available.push_back({std::move(client), boot_clock::now()});
        }
    }

    deadline_watchdog watchdog;

private:
    struct idle_connection {
        std::unique_ptr<httplib::Client> client;
        time_point since;
    };

    std::mutex mutex;
    std::map<std::string, std::vector<idle_connection>> idle;
};

namespace {

/// Sends one JSON-RPC message with the given function. `transport_failure` holds the reason if it
/// failed.
class post_connector : public jsonrpc::IClientConnector {
public:
    using post_function = std::function<std::optional<std::string>(const std::string& body)>;

    explicit post_connector(post_function post) : send(std::move(post)) {}

    void SendRPCMessage(const std::string& message, std::string& result) override
    {
        std::optional<std::string> response_body = this->send(message);
        if (!response_body) {
            this->transport_failure = last_failure();
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR);
        }
        result = std::move(*response_body);
    }

    std::optional<failure> transport_failure;

private:
    post_function send;
};

httplib::Request make_request(const rpc_credentials& credentials, const std::string& body,
                              std::string& response_body)
{
    httplib::Request request;
    request.method = "POST";
    request.path = peer_rpc_path;
    request.headers = {{rpc_node_header, credentials.node},
                       {rpc_time_header, credentials.time},
                       {rpc_nonce_header, credentials.nonce},
                       {rpc_signature_header, credentials.signature},
                       {"Content-Type", "application/json"}};
    request.body = body;
    request.content_receiver = [&response_body](const char* data, std::size_t size, std::uint64_t,
                                                std::uint64_t) {
        response_body.append(data, size);
        return response_body.size() <= max_rpc_response_bytes;
    };
    return request;
}

} // namespace

rpc_client::rpc_client(node_id node, std::string fleet_secret)
    : self(std::move(node)),
      signer(std::move(fleet_secret)),
      connections(std::make_unique<connection_pool>())
{
}

rpc_client::~rpc_client() = default;

std::optional<std::string> rpc_client::post(const std::string& address, const std::string& body,
                                            time_point deadline)
{
    const duration remaining = deadline - boot_clock::now();
    if (remaining <= duration::zero()) {
        return fail("rpc_connect", address, "the deadline passed before the call");
    }
    std::unique_ptr<httplib::Client> client = this->connections->acquire(address);
    client->set_connection_timeout(remaining);
    client->set_read_timeout(remaining);
    client->set_write_timeout(remaining);
    const rpc_credentials credentials =
        this->signer.sign_call(this->self, random_nonce(), body, std::chrono::system_clock::now());
    std::string response_body;
    httplib::Request request = make_request(credentials, body, response_body);
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    {
        const deadline_watchdog::guard guard{this->connections->watchdog, deadline,
                                             [&client] { client->stop(); }};
        client->send(request, response, error);
    }
    if (error != httplib::Error::Success) {
        return fail(is_before_sending(error) ? "rpc_connect" : "rpc_send", address,
                    httplib::to_string(error));
    }
    if (response.status == 401) {
        return fail("rpc_refused", address, response_body);
    }
    if (!this->signer.is_response_valid(credentials.nonce, response_body,
                                        response.get_header_value(rpc_signature_header))) {
        return fail("rpc_answer", address,
                    "wrong response signature, status " + std::to_string(response.status));
    }
    // Reuse the connection only if the server announces that it keeps it open. Otherwise the server
    // may close it while the next call is being sent, which would then fail.
    if (response.get_header_value("Connection") == "keep-alive") {
        this->connections->release(address, std::move(client));
    }
    if (!is_within_depth_limit(response_body)) {
        return fail("rpc_answer", address, "the response is nested too deeply");
    }
    return response_body;
}

std::optional<nlohmann::json> rpc_client::call(const std::string& address,
                                               const std::string& method,
                                               const nlohmann::json& params, time_point deadline)
{
    const std::optional<Json::Value> converted = to_jsoncpp(params);
    if (!converted) {
        return std::nullopt;
    }
    post_connector connector{[this, &address, deadline](const std::string& body) {
        return this->post(address, body, deadline);
    }};
    try {
        jsonrpc::Client client{connector, jsonrpc::JSONRPC_CLIENT_V2};
        return from_jsoncpp(client.CallMethod(method, *converted));
    }
    catch (const jsonrpc::JsonRpcException& error) {
        if (connector.transport_failure) {
            return fail(connector.transport_failure->step, address,
                        connector.transport_failure->detail);
        }
        const bool is_invalid = error.GetCode() == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
        return fail(is_invalid ? "rpc_answer" : "rpc_error", address, error.GetMessage());
    }
    catch (const std::exception& error) {
        return fail("rpc_answer", address, error.what());
    }
}

} // namespace dragonflyroad
