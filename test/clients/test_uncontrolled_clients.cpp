#include "test/clients/crowd.hpp"
#include "test/clients/node_under_test.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace dragonflyroad::test;

// Clients outside the project's control ended processes by running them out of memory. Each case
// starts a node with a lowered memory limit and checks, while the crowd stays connected, what does
// not depend on the machine's speed. The crowd and the bounds follow from the limits of
// node_under_test.hpp and were fixed before the product was changed.

namespace {

constexpr std::size_t endless_clients = 20;
constexpr std::size_t endless_bytes = 32U << 20U;
constexpr std::size_t body_clients = 30;
constexpr std::size_t piece_bytes = 64U << 10U;
/// More than the descriptors that the process may use.
constexpr std::size_t idle_clients = 600;

/// Heads just inside the limit of the configuration, and descriptors for their connections.
constexpr std::size_t short_field_bytes = 15'000;
constexpr std::size_t short_field_clients = 350;
constexpr std::size_t short_field_descriptors = 1'000;

/// Bytes that may stay reserved when only the connections of the check itself are open.
constexpr double idle_reserved_bytes = 256 << 10;

constexpr int settle_attempts = 100;
constexpr std::chrono::milliseconds settle_pause{100};

using port = std::string (node_under_test::*)() const;

struct named_port {
    const char* name;
    port address;
};

constexpr named_port http_ports[] = {{"outbound", &node_under_test::outbound},
                                     {"ready", &node_under_test::ready},
                                     {"control", &node_under_test::control},
                                     {"metrics", &node_under_test::metrics}};

const std::string post = "POST /books/1 HTTP/1.1\r\nHost: books.example\r\n"
                         "X-Attempt-Id: hostile\r\nX-Deadline-Ms: 60000\r\n";

/// `piece` repeated up to about the size that the clients send in all.
client_script endless(std::string start, const std::string& piece)
{
    std::string block;
    while (block.size() < piece_bytes) {
        block += piece;
    }
    const std::size_t pieces = endless_bytes / block.size();
    return {std::move(start), std::move(block), pieces};
}

std::string big_endian(std::size_t value)
{
    std::string bytes;
    for (int shift = 24; shift >= 0; shift -= 8) {
        bytes += static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU);
    }
    return bytes;
}

void check_bounds(node_under_test& node, std::size_t descriptors = descriptor_limit)
{
    REQUIRE(node.is_alive());
    CHECK(node.peak_memory_mb() < memory_limit_mb);
    CHECK(node.descriptors() < descriptors);
    CHECK(node.check_readiness() == 200);
    CHECK(node.check_in() == 200);
    CHECK(node.request_as_caller() == 200);
    REQUIRE(node.is_alive());
    CHECK(node.peak_memory_mb() < memory_limit_mb);
    CHECK(node.descriptors() < descriptors);
}

/// The reserved bytes once the node has handled the end of the crowd's connections, which may take
/// it longer than to answer the next request; the last value if it does not get there.
double reserved_when_settled(const node_under_test& node)
{
    double reserved = -1;
    for (int attempt = 0; attempt < settle_attempts; ++attempt) {
        reserved = node.metric("dragonflyroad_memory_reserved_bytes");
        if (reserved >= 0 && reserved < idle_reserved_bytes) {
            break;
        }
        std::this_thread::sleep_for(settle_pause);
    }
    return reserved;
}

void attack(port target, std::size_t clients, const client_script& script,
            std::size_t descriptors = descriptor_limit)
{
    node_under_test node{descriptors};
    REQUIRE(node.is_prepared());
    {
        crowd hostile{(node.*target)(), clients, script};
        hostile.send_all();
        MESSAGE("sent " << (hostile.bytes_sent() >> 20U) << " MB, peak memory "
                        << node.peak_memory_mb() << " MB, descriptors " << node.descriptors());
        check_bounds(node, descriptors);
    }
    CHECK(node.request_as_caller() == 200);
    const double reserved = reserved_when_settled(node);
    CHECK(reserved >= 0);
    CHECK(reserved < idle_reserved_bytes);
}

/// Lets a crowd of callers ask an upstream that answers without an end, and checks the node while
/// it goes on, and an ordinary caller once the upstream is sound again.
void answer_without_end(const endless_answer& answer)
{
    node_under_test node;
    REQUIRE(node.is_prepared());
    node.replace_upstream(answer);
    {
        crowd callers{
            node.outbound(), endless_clients, {post + "Content-Length: 0\r\n\r\n", "", 0}};
        callers.send_all();
        for (int attempt = 0; attempt < settle_attempts / 2 && node.is_alive(); ++attempt) {
            std::this_thread::sleep_for(settle_pause);
        }
        REQUIRE(node.is_alive());
        MESSAGE("peak memory " << node.peak_memory_mb() << " MB");
        node.replace_upstream(std::nullopt);
        check_bounds(node);
    }
    CHECK(node.request_as_caller() == 200);
}

void attack_each_http_port(std::size_t clients, const client_script& script)
{
    for (const named_port& target : http_ports) {
        SUBCASE(target.name)
        {
            attack(target.address, clients, script);
        }
    }
}

} // namespace

// Guards against a limit on heads that the decoder applies only after it has buffered them.
TEST_CASE("heads over the limit do not exhaust the memory")
{
    attack_each_http_port(endless_clients, {"GET / HTTP/1.1\r\nHost: books.example\r\nX-Long: " +
                                                std::string(4U << 20U, 'h') + "\r\n\r\n",
                                            "", 0});
}

TEST_CASE("heads without an end do not exhaust the memory")
{
    attack_each_http_port(endless_clients,
                          endless("GET / HTTP/1.1\r\nHost: books.example\r\nX-Long: ", "hhhhhhhh"));
}

TEST_CASE("heads of many short fields without an end do not exhaust the memory")
{
    attack_each_http_port(endless_clients, endless("GET / HTTP/1.1\r\n", "X-Field: value\r\n"));
}

// Guards against heads that are counted by their bytes while their parsed form takes many times as
// much: 350 of them took 115 MB.
TEST_CASE("many heads of short fields inside the limit do not exhaust the memory")
{
    std::string fields;
    while (fields.size() < short_field_bytes) {
        fields += "a:\r\n";
    }
    SUBCASE("without their end")
    {
        attack(&node_under_test::outbound, short_field_clients, {post + fields, "", 0},
               short_field_descriptors);
    }
    SUBCASE("with a body that stops short of its end")
    {
        attack(&node_under_test::outbound, short_field_clients,
               {post + "Content-Length: 100\r\n" + fields + "\r\nb", "", 0},
               short_field_descriptors);
    }
}

TEST_CASE("empty lines without an end before a request do not exhaust the memory")
{
    attack_each_http_port(endless_clients, endless("", "\r\n"));
}

TEST_CASE("trailers without an end do not exhaust the memory")
{
    attack_each_http_port(endless_clients, endless(post + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                                                   "X-Trailer: value\r\n"));
}

TEST_CASE("a chunk extension without an end does not exhaust the memory")
{
    attack_each_http_port(endless_clients,
                          endless(post + "Transfer-Encoding: chunked\r\n\r\n5;name=", "extension"));
}

TEST_CASE("many whole bodies of legal size at once do not exhaust the memory")
{
    attack_each_http_port(body_clients,
                          {post + fmt::format("Content-Length: {}\r\n\r\n", body_limit_bytes),
                           std::string(piece_bytes, 'b'), body_limit_bytes / piece_bytes});
}

TEST_CASE("many bodies with a length that stop short of their end do not exhaust the memory")
{
    attack_each_http_port(body_clients,
                          {post + fmt::format("Content-Length: {}\r\n\r\n", body_limit_bytes),
                           std::string(piece_bytes, 'b'), (body_limit_bytes / piece_bytes) - 1});
}

TEST_CASE("many chunked bodies that stop short of their end do not exhaust the memory")
{
    const std::string chunk =
        fmt::format("{:x}\r\n", piece_bytes) + std::string(piece_bytes, 'b') + "\r\n";
    attack_each_http_port(body_clients, {post + "Transfer-Encoding: chunked\r\n\r\n", chunk,
                                         (body_limit_bytes / piece_bytes) - 1});
}

TEST_CASE("many idle connections leave descriptors for ordinary callers")
{
    attack_each_http_port(idle_clients, {"", "", 0});
}

TEST_CASE("strangers on the link port do not exhaust the memory")
{
    const std::size_t message_bytes = 72U << 20U;
    SUBCASE("idle connections")
    {
        attack(&node_under_test::inbound, idle_clients, {"", "", 0});
    }
    SUBCASE("a long message before the hello")
    {
        attack(&node_under_test::inbound, endless_clients,
               endless(big_endian(message_bytes), "xxxxxxxx"));
    }
}

// Guards against a node that keeps all that an upstream in trouble sends, and ends: the requests of
// other callers end with it.
TEST_CASE("answers of an upstream without an end do not exhaust the memory")
{
    const std::string noise(piece_bytes, 'x');
    const std::string head = "HTTP/1.1 200 OK\r\nX-Response-Signature: signed\r\n";
    SUBCASE("no head")
    {
        answer_without_end({noise, noise});
    }
    SUBCASE("a head of many fields")
    {
        answer_without_end({head, "X-Field: value\r\n"});
    }
    SUBCASE("interim answers")
    {
        answer_without_end({"", "HTTP/1.1 102 Processing\r\n\r\n"});
    }
    SUBCASE("a body without a length")
    {
        answer_without_end({head + "\r\n", noise});
    }
    SUBCASE("a body of a length that no memory can hold")
    {
        answer_without_end({head + "Content-Length: 999999999999\r\n\r\n", noise});
    }
    SUBCASE("a body in chunks")
    {
        answer_without_end({head + "Transfer-Encoding: chunked\r\n\r\n",
                            fmt::format("{:x}\r\n", piece_bytes) + noise + "\r\n"});
    }
}

// Guards against limits that turn away what the operators' configuration allows.
TEST_CASE("a single body of the greatest legal size is served in calm")
{
    node_under_test node;
    REQUIRE(node.is_prepared());
    CHECK(node.request_as_caller(body_limit_bytes) == 200);
    REQUIRE(node.is_alive());
    CHECK(node.peak_memory_mb() < memory_limit_mb);
}
