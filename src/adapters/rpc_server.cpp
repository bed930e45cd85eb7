#include "adapters/rpc_server.hpp"

#include "adapters/json_convert.hpp"
#include "adapters/jsonrpc_library.hpp"
#include "core/failure.hpp"

#include <map>
#include <utility>

namespace dragonflyroad {
namespace {

/// JSON-RPC reserves -32000 to -32099 for errors defined by the server.
constexpr int method_failed_code = -32000;

/// Passes one request body to libjsonrpccpp and returns its response in memory.
class in_memory_connector : public jsonrpc::AbstractServerConnector {
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string& response, void* target) override
    {
        *static_cast<std::string*>(target) = response;
        return true;
    }
};

/// First base class, so that the connector is constructed before the AbstractServer that registers
/// itself with it.
struct connector_owner {
    in_memory_connector connector;
};

} // namespace

/// Registers and runs the methods through libjsonrpccpp. The library passes no context to methods,
/// so a thread-local pointer holds the calling node for the duration of a call.
class rpc_server::dispatcher : private connector_owner, public jsonrpc::AbstractServer<dispatcher> {
public:
    dispatcher() : AbstractServer<dispatcher>(connector_owner::connector) {}

    void add(const std::string& name, method run)
    {
        if (this->bindAndAddMethod(
                jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL),
                &dispatcher::placeholder)) {
            this->methods_by_name.emplace(name, std::move(run));
        }
    }

    std::string run(const std::string& body, const node_id& caller)
    {
        current_caller() = &caller;
        std::string response;
        this->connector.OnRequest(body, &response);
        current_caller() = nullptr;
        return response;
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                          Json::Value& output) override
    {
        const std::optional<nlohmann::json> result =
            run_method(this->methods_by_name.at(procedure.GetProcedureName()), input);
        std::optional<Json::Value> converted = result ? to_jsoncpp(*result) : std::nullopt;
        if (!converted) {
            const failure& reason = last_failure();
            throw jsonrpc::JsonRpcException(method_failed_code, reason.step + ": " + reason.detail);
        }
        output = std::move(*converted);
    }

private:
    static std::optional<nlohmann::json> run_method(const method& run, const Json::Value& input)
    {
        const std::optional<nlohmann::json> params = from_jsoncpp(input);
        if (!params) {
            return std::nullopt;
        }
        try {
            return run(*params, *current_caller());
        }
        catch (const nlohmann::json::exception& error) {
            // A parameter is missing or has the wrong type.
            return fail("params", current_caller()->value, error.what());
        }
    }

    static const node_id*& current_caller()
    {
        thread_local const node_id* caller = nullptr;
        return caller;
    }

    void placeholder(const Json::Value& /*params*/, Json::Value& /*result*/) {}

    std::map<std::string, method> methods_by_name;
};

rpc_server::rpc_server(std::string fleet_secret)
    : signer(std::move(fleet_secret)), methods(std::make_unique<dispatcher>())
{
}

rpc_server::~rpc_server() = default;

void rpc_server::add_method(const std::string& name, method run)
{
    this->methods->add(name, std::move(run));
}

std::optional<rpc_rejection> rpc_server::verify(const std::string& body,
                                                const rpc_credentials& credentials, wall_time now)
{
    if (credentials.node.empty() || credentials.time.empty() || credentials.nonce.empty() ||
        credentials.signature.empty()) {
        return rpc_rejection::missing;
    }
    if (!this->signer.is_call_valid(credentials, body)) {
        return rpc_rejection::wrong_signature;
    }
    return this->replays.check(credentials, now);
}

rpc_response rpc_server::handle_call(const std::string& body, const rpc_credentials& credentials,
                                     wall_time now)
{
    if (const std::optional<rpc_rejection> refusal = this->verify(body, credentials, now)) {
        ++this->refusals[static_cast<std::size_t>(*refusal)];
        return {401, "{\"refused\":\"" + std::string{to_code(*refusal)} + "\"}", {}};
    }
    rpc_response response;
    if (is_within_depth_limit(body)) {
        response.body = this->methods->run(body, node_id{credentials.node});
    }
    else {
        response.status = 400;
        response.body = R"({"error":{"code":-32700,"message":"nested too deeply"},"id":null,)"
                        R"("jsonrpc":"2.0"})";
    }
    response.signature = this->signer.sign_response(credentials.nonce, response.body);
    return response;
}

std::uint64_t rpc_server::rejected_count(rpc_rejection refusal) const
{
    return this->refusals[static_cast<std::size_t>(refusal)].load();
}

} // namespace dragonflyroad
