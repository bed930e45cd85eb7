#include "adapters/rpc_civet_handler.hpp"

#include <optional>
#include <string>
#include <utility>

namespace dragonflyroad {
namespace {

std::string header_value(const mg_connection* connection, const char* name)
{
    const char* const value = mg_get_header(connection, name);
    return value == nullptr ? std::string{} : std::string{value};
}

void write_response(mg_connection* connection, int status, const std::string& signature,
                    const std::string& body)
{
    const char* const text = mg_get_response_code_text(connection, status);
    std::string head =
        "HTTP/1.1 " + std::to_string(status) + " " + text +
        "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n";
    if (!signature.empty()) {
        head += std::string{rpc_signature_header} + ": " + signature + "\r\n";
    }
    head += "\r\n";
    mg_write(connection, head.data(), head.size());
    mg_write(connection, body.data(), body.size());
}

std::optional<std::string> read_body(mg_connection* connection, std::size_t size)
{
    std::string body(size, '\0');
    std::size_t filled = 0;
    while (filled < size) {
        const int count = mg_read(connection, body.data() + filled, size - filled);
        if (count <= 0) {
            return std::nullopt;
        }
        filled += static_cast<std::size_t>(count);
    }
    return body;
}

} // namespace

bool rpc_civet_handler::handlePost(CivetServer* /*civet*/, mg_connection* connection)
{
    const long long length = mg_get_request_info(connection)->content_length;
    if (length < 0) {
        write_response(connection, 411, {}, {});
        return true;
    }
    if (static_cast<unsigned long long>(length) > max_rpc_call_bytes) {
        write_response(connection, 413, {}, {});
        return true;
    }
    const std::optional<std::string> body = read_body(connection, static_cast<std::size_t>(length));
    if (!body) {
        return true;
    }
    const rpc_credentials credentials{
        header_value(connection, rpc_node_header), header_value(connection, rpc_time_header),
        header_value(connection, rpc_nonce_header), header_value(connection, rpc_signature_header)};
    const rpc_response response =
        this->server.handle_call(*body, credentials, std::chrono::system_clock::now());
    write_response(connection, response.status, response.signature, response.body);
    return true;
}

} // namespace dragonflyroad
