#include "adapters/rpc_server.hpp"

#include "adapters/json_convert.hpp"
#include "adapters/jsonrpc_library.hpp"
#include "core/failure.hpp"

#include <map>
#include <utility>

namespace dragonflyroad {
namespace {

/// JSON-RPC reserves -32000 to -32099 for errors of the server's own.
constexpr int method_failed = -32000;

/// Hands one body to libjsonrpccpp and keeps its answer.
class body_connector : public jsonrpc::AbstractServerConnector {
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string& response, void* target) override
    {
        *static_cast<std::string*>(target) = response;
        return true;
    }
};

/// A base, so that the connector exists before the AbstractServer that registers itself with it.
struct connector_owner {
    body_connector connector;
};

} // namespace

/// The methods, as a libjsonrpccpp server. The library passes no context to methods, so the calling
/// node is kept for the duration of the call on the calling thread.
class rpc_server::dispatcher : private connector_owner, public jsonrpc::AbstractServer<dispatcher> {
public:
    dispatcher() : AbstractServer<dispatcher>(connector_owner::connector) {}

    void add(const std::string& name, method run)
    {
        if (this->bindAndAddMethod(
                jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL),
                &dispatcher::unused)) {
            this->by_name.emplace(name, std::move(run));
        }
    }

    std::string run(const std::string& body, const node_id& caller)
    {
        current_caller() = &caller;
        std::string answer;
        this->connector.OnRequest(body, &answer);
        current_caller() = nullptr;
        return answer;
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                          Json::Value& output) override
    {
        const std::optional<nlohmann::json> result =
            run_method(this->by_name.at(procedure.GetProcedureName()), input);
        std::optional<Json::Value> converted = result ? to_jsoncpp(*result) : std::nullopt;
        if (!converted) {
            const failure& reason = last_failure();
            throw jsonrpc::JsonRpcException(method_failed, reason.step + ": " + reason.detail);
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
            // A parameter is missing or of a wrong type.
            return fail("params", current_caller()->value, error.what());
        }
    }

    static const node_id*& current_caller()
    {
        thread_local const node_id* caller = nullptr;
        return caller;
    }

    void unused(const Json::Value& /*params*/, Json::Value& /*result*/) {}

    std::map<std::string, method> by_name;
};

rpc_server::rpc_server(std::string fleet_secret)
    : signer(std::move(fleet_secret)), methods(std::make_unique<dispatcher>())
{
}

rpc_server::~rpc_server() = default;

void rpc_server::add(const std::string& name, method run)
{
    this->methods->add(name, std::move(run));
}

std::optional<rpc_refusal> rpc_server::verify(const std::string& body,
                                              const rpc_credentials& credentials, wall_time now)
{
    if (credentials.node.empty() || credentials.time.empty() || credentials.nonce.empty() ||
        credentials.signature.empty()) {
        return rpc_refusal::missing;
    }
    if (!this->signer.is_call_valid(credentials, body)) {
        return rpc_refusal::wrong_signature;
    }
    return this->replays.check(credentials, now);
}

rpc_answer rpc_server::answer(const std::string& body, const rpc_credentials& credentials,
                              wall_time now)
{
    if (const std::optional<rpc_refusal> refusal = this->verify(body, credentials, now)) {
        ++this->refusals[static_cast<std::size_t>(*refusal)];
        return {401, "{\"refused\":\"" + std::string{to_code(*refusal)} + "\"}", {}};
    }
    rpc_answer answer;
    if (is_shallow(body)) {
        answer.body = this->methods->run(body, node_id{credentials.node});
    }
    else {
        answer.status = 400;
        answer.body = R"({"error":{"code":-32700,"message":"nested too deeply"},"id":null,)"
                      R"("jsonrpc":"2.0"})";
    }
    answer.signature = this->signer.sign_answer(credentials.nonce, answer.body);
    return answer;
}

std::uint64_t rpc_server::refused(rpc_refusal refusal) const
{
    return this->refusals[static_cast<std::size_t>(refusal)].load();
}

} // namespace dragonflyroad
