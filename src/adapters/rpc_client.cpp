#include "adapters/rpc_client.hpp"

#include "adapters/deadline_watch.hpp"
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

/// Below the 5 s after which a server of ours closes an idle connection.
constexpr duration max_idle = std::chrono::seconds{3};
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

bool was_not_sent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::BindIPAddress ||
           error == httplib::Error::ConnectionTimeout;
}

} // namespace

/// Idle connections by address, and the watch that ends overdue calls.
class rpc_client::connection_pool {
public:
    std::unique_ptr<httplib::Client> take(const std::string& address)
    {
        const time_point now = boot_clock::now();
        {
            const std::scoped_lock lock{this->mutex};
            std::vector<idle_connection>& free = this->idle[address];
            std::erase_if(free, [now](const idle_connection& connection) {
                return connection.since + max_idle <= now;
            });
            if (!free.empty()) {
                std::unique_ptr<httplib::Client> taken = std::move(free.back().client);
                free.pop_back();
                return taken;
            }
            std::erase_if(this->idle, [](const auto& known) { return known.second.empty(); });
        }
        auto client = std::make_unique<httplib::Client>("http://" + address);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        return client;
    }

    void give_back(const std::string& address, std::unique_ptr<httplib::Client> client)
    {
        const std::scoped_lock lock{this->mutex};
        std::vector<idle_connection>& free = this->idle[address];
        if (free.size() < max_idle_per_peer) {
            free.push_back({std::move(client), boot_clock::now()});
        }
    }

    deadline_watch watch;

private:
    struct idle_connection {
        std::unique_ptr<httplib::Client> client;
        time_point since;
    };

    std::mutex mutex;
    std::map<std::string, std::vector<idle_connection>> idle;
};

namespace {

/// Sends one JSON-RPC message as a signed POST. `problem` tells why it failed.
class http_connector : public jsonrpc::IClientConnector {
public:
    using exchange = std::function<std::optional<std::string>(const std::string& body)>;

    explicit http_connector(exchange post) : send(std::move(post)) {}

    void SendRPCMessage(const std::string& message, std::string& result) override
    {
        std::optional<std::string> answer = this->send(message);
        if (!answer) {
            this->problem = last_failure();
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR);
        }
        result = std::move(*answer);
    }

    std::optional<failure> problem;

private:
    exchange send;
};

httplib::Request make_request(const rpc_credentials& credentials, const std::string& body,
                              std::string& answer)
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
    request.content_receiver = [&answer](const char* data, std::size_t size, std::uint64_t,
                                         std::uint64_t) {
        answer.append(data, size);
        return answer.size() <= max_rpc_answer_bytes;
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
    const duration left = deadline - boot_clock::now();
    if (left <= duration::zero()) {
        return fail("rpc_connect", address, "deadline passed before the call");
    }
    std::unique_ptr<httplib::Client> client = this->connections->take(address);
    client->set_connection_timeout(left);
    client->set_read_timeout(left);
    client->set_write_timeout(left);
    const rpc_credentials credentials =
        this->signer.sign_call(this->self, random_nonce(), body, std::chrono::system_clock::now());
    std::string answer;
    httplib::Request request = make_request(credentials, body, answer);
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    {
        const deadline_watch::guard guard{this->connections->watch, deadline,
                                          [&client] { client->stop(); }};
        client->send(request, response, error);
    }
    if (error != httplib::Error::Success) {
        return fail(was_not_sent(error) ? "rpc_connect" : "rpc_send", address,
                    httplib::to_string(error));
    }
    if (response.status == 401) {
        return fail("rpc_refused", address, answer);
    }
    if (!this->signer.is_answer_valid(credentials.nonce, answer,
                                      response.get_header_value(rpc_signature_header))) {
        return fail("rpc_answer", address,
                    "wrong signature, status " + std::to_string(response.status));
    }
    this->connections->give_back(address, std::move(client));
    if (!is_shallow(answer)) {
        return fail("rpc_answer", address, "nested too deeply");
    }
    return answer;
}

std::optional<nlohmann::json> rpc_client::call(const std::string& address,
                                               const std::string& method,
                                               const nlohmann::json& params, time_point deadline)
{
    const std::optional<Json::Value> converted = to_jsoncpp(params);
    if (!converted) {
        return std::nullopt;
    }
    http_connector connector{[this, &address, deadline](const std::string& body) {
        return this->post(address, body, deadline);
    }};
    try {
        jsonrpc::Client client{connector, jsonrpc::JSONRPC_CLIENT_V2};
        return from_jsoncpp(client.CallMethod(method, *converted));
    }
    catch (const jsonrpc::JsonRpcException& error) {
        if (connector.problem) {
            return fail(connector.problem->step, address, connector.problem->detail);
        }
        const bool is_invalid = error.GetCode() == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
        return fail(is_invalid ? "rpc_answer" : "rpc_error", address, error.GetMessage());
    }
    catch (const std::exception& error) {
        return fail("rpc_answer", address, error.what());
    }
}

} // namespace dragonflyroad
