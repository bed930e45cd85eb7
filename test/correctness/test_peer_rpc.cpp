#include "adapters/rpc_civet_handler.hpp"
#include "adapters/rpc_client.hpp"
#include "adapters/udp_transport.hpp"
#include "core/failure.hpp"

#include <doctest/doctest.h>
#include <future>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

/// An rpc_server on a loopback port.
struct loopback_rpc_server {
    loopback_rpc_server()
    {
        this->server.add_method("echo", [](const nlohmann::json& params, const node_id& caller) {
            return std::optional{nlohmann::json{{"params", params}, {"caller", caller.value}}};
        });
        this->server.add_method("add", [](const nlohmann::json& params, const node_id&) {
            return std::optional{nlohmann::json(params.at("left").get<int>() + 1)};
        });
        this->server.add_method("wait", [this](const nlohmann::json&, const node_id&) {
            this->released.get_future().wait();
            return std::optional{nlohmann::json::object()};
        });
        this->civet.addHandler(peer_rpc_path, &this->handler);
    }

    std::string address()
    {
        return "127.0.0.1:" + std::to_string(this->civet.getListeningPorts().at(0));
    }

    rpc_server server{"secret"};
    rpc_civet_handler handler{this->server};
    std::promise<void> released;
    CivetServer civet{
        std::vector<std::string>{"listening_ports", "127.0.0.1:0", "num_threads", "4"}};
};

time_point soon()
{
    return boot_clock::now() + 5s;
}

} // namespace

// Guards against values that change in the conversion between nlohmann::json and jsoncpp.
TEST_CASE("a call returns the result of the method")
{
    loopback_rpc_server peer;
    rpc_client client{node_id{"n1"}, "secret"};
    const nlohmann::json params{{"big", ~std::uint64_t{0}},
                                {"negative", -1},
                                {"half", 0.5},
                                {"list", {1, "two", nullptr, true}}};
    for (int repeat = 0; repeat < 3; ++repeat) {
        const auto result = client.call(peer.address(), "echo", params, soon());
        CAPTURE(last_failure().step);
        CAPTURE(last_failure().detail);
        REQUIRE(result);
        CHECK((*result)["params"] == params);
        CHECK((*result)["caller"] == "n1");
    }
}

// Guards against errors of a method that are reported as lost calls.
TEST_CASE("errors name the step that failed")
{
    loopback_rpc_server peer;
    rpc_client client{node_id{"n1"}, "secret"};
    CHECK_FALSE(client.call(peer.address(), "none", nlohmann::json::object(), soon()));
    CHECK(last_failure().step == "rpc_error");
    CHECK_FALSE(client.call(peer.address(), "add", {{"left", "text"}}, soon()));
    CHECK(last_failure().step == "rpc_error");
    CHECK_FALSE(client.call("127.0.0.1:1", "echo", nlohmann::json::object(), soon()));
    CHECK(last_failure().step == "rpc_connect");
}

// Guards against calls that block their thread past the deadline.
TEST_CASE("a call ends at its deadline")
{
    loopback_rpc_server peer;
    rpc_client client{node_id{"n1"}, "secret"};
    CHECK_FALSE(
        client.call(peer.address(), "wait", nlohmann::json::object(), boot_clock::now() + 100ms));
    CHECK(last_failure().step == "rpc_send");
    peer.released.set_value();
}

// Guards against callers without the secret and against replayed calls.
TEST_CASE("calls without a valid signature get 401 and are counted")
{
    loopback_rpc_server peer;
    rpc_client stranger{node_id{"n1"}, "other"};
    CHECK_FALSE(stranger.call(peer.address(), "echo", nlohmann::json::object(), soon()));
    CHECK(last_failure().step == "rpc_refused");
    CHECK(peer.server.rejected_count(rpc_rejection::wrong_signature) == 1);

    const std::string body = R"({"jsonrpc":"2.0","id":1,"method":"echo","params":{}})";
    const wall_time now = std::chrono::system_clock::now();
    const auto credentials = rpc_signer{"secret"}.sign_call(node_id{"n1"}, "nonce", body, now);
    CHECK(peer.server.handle_call(body, credentials, now).status == 200);
    CHECK(peer.server.handle_call(body, credentials, now).status == 401);
    CHECK(peer.server.handle_call(body + " ", credentials, now).status == 401);
    CHECK(peer.server.handle_call(body, {}, now).status == 401);
    const auto late = rpc_signer{"secret"}.sign_call(node_id{"n1"}, "late", body, now - 31s);
    CHECK(peer.server.handle_call(body, late, now).status == 401);
    CHECK(peer.server.rejected_count(rpc_rejection::replayed) == 1);
    CHECK(peer.server.rejected_count(rpc_rejection::missing) == 1);
    CHECK(peer.server.rejected_count(rpc_rejection::wrong_time) == 1);
}

// Guards against exceptions that the JSON library throws on malformed input.
TEST_CASE("malformed signed bodies get an error response")
{
    rpc_server server{"secret"};
    const rpc_signer signer{"secret"};
    const wall_time now = std::chrono::system_clock::now();
    int nonce = 0;
    for (const std::string& body :
         {std::string{"{"}, std::string{"[]"}, std::string{"7"}, std::string(5'000, '['),
          std::string{"{\"jsonrpc\":\"2.0\"}"}}) {
        const auto credentials =
            signer.sign_call(node_id{"n1"}, std::to_string(++nonce), body, now);
        CHECK(server.handle_call(body, credentials, now).body.find("error") != std::string::npos);
    }
}

// Guards against a transport that loses or truncates datagrams on loopback.
TEST_CASE("datagrams are delivered with their sender's address")
{
    std::promise<std::pair<std::string, std::string>> arrived;
    const auto receiver = udp_transport::open(
        "127.0.0.1:0", [&arrived](std::string_view bytes, const std::string& from) {
            arrived.set_value({std::string{bytes}, from});
        });
    const auto sender =
        udp_transport::open("127.0.0.1:0", [](std::string_view, const std::string&) {});
    REQUIRE(receiver);
    REQUIRE(sender);
    const std::string bytes(1'200, 'x');
    CHECK_FALSE(sender->send(receiver->address(), bytes + "x"));
    CHECK(sender->send(receiver->address(), bytes));
    auto received = arrived.get_future();
    REQUIRE(received.wait_for(5s) == std::future_status::ready);
    const auto [content, from] = received.get();
    CHECK(content == bytes);
    CHECK(from == sender->address());
    CHECK_FALSE(udp_transport::open("localhost:1", {}));
    CHECK(last_failure().step == "udp_bind");
}
