#include "node/peer_port.hpp"

#include "adapters/rpc_authentication.hpp"

#include <chrono>
#include <string>

namespace dragonflyroad {
namespace {

std::string header_of(const http_exchange& exchange, const char* name)
{
    return std::string{find_header(exchange.head().headers, name).value_or("")};
}

} // namespace

void handle_peer_request(rpc_server& methods, http_exchange& exchange)
{
    std::string body;
    if (exchange.head_error() != request_head_error::none || exchange.head().method != "POST" ||
        exchange.head().target != peer_rpc_path ||
        exchange.read_body(max_rpc_call_bytes, body) != body_outcome::complete) {
        exchange.send(400, {}, "");
        return;
    }
    const rpc_credentials credentials{
        header_of(exchange, rpc_node_header), header_of(exchange, rpc_time_header),
        header_of(exchange, rpc_nonce_header), header_of(exchange, rpc_signature_header)};
    const rpc_response response =
        methods.handle_call(body, credentials, std::chrono::system_clock::now());
    http_headers headers{{"Content-Type", "application/json"}};
    if (!response.signature.empty()) {
        headers.push_back({rpc_signature_header, response.signature});
    }
    exchange.send(response.status, headers, response.body);
}

} // namespace dragonflyroad
