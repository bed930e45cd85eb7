#include "mesh/link.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

/// POSIX has a function of the same name.
using node_link = dragonflyroad::link;

constexpr std::size_t megabyte = 1U << 20U;

/// Two ends of a link on loopback; the receiving end has a memory budget.
struct connected_links {
    explicit connected_links(std::size_t budget_bytes)
        : memory(std::make_shared<memory_budget>(budget_bytes))
    {
        boost::asio::ip::tcp::acceptor acceptor{this->loop,
                                                {boost::asio::ip::make_address("127.0.0.1"), 0}};
        boost::asio::ip::tcp::socket near{this->loop};
        near.connect(acceptor.local_endpoint());
        this->sender = std::make_shared<node_link>(std::move(near), "receiver",
                                                   this->callbacks(this->replies, nullptr));
        this->receiver = std::make_shared<node_link>(acceptor.accept(), "sender",
                                                     this->callbacks(this->arrived, this->memory));
        this->sender->set_identified();
        this->sender->start();
        this->receiver->start();
    }

    node_link::callbacks callbacks(std::vector<link_message>& messages,
                                   std::shared_ptr<memory_budget> budget)
    {
        return {[&messages](node_link&, link_message message) {
                    messages.push_back(std::move(message));
                },
                [this](node_link&, const std::string&) { ++this->closed; }, [] { return false; },
                std::move(budget)};
    }

    void run_until(const std::function<bool()>& condition)
    {
        const time_point until = boot_clock::now() + 10s;
        while (!condition() && boot_clock::now() < until) {
            this->loop.run_one_for(10ms);
        }
    }

    boost::asio::io_context loop;
    std::shared_ptr<memory_budget> memory;
    std::vector<link_message> arrived;
    std::vector<link_message> replies;
    std::size_t closed = 0;
    std::shared_ptr<node_link> sender;
    std::shared_ptr<node_link> receiver;
};

run_message make_run(run_id id, std::size_t body_bytes)
{
    run_message run;
    run.id = id;
    run.head.method = "POST";
    run.head.target = "/models/1";
    run.body = std::string(body_bytes, 'm');
    return run;
}

} // namespace

// Guards against a body that takes up memory after its last owner has let go of it.
TEST_CASE("a body from another node holds its memory until it is dropped")
{
    connected_links links{40 * megabyte};
    links.receiver->set_identified();
    links.sender->send(make_run(1, 8 * megabyte));
    links.sender->send(release_reservation_message{2});
    links.sender->send(make_run(3, 1'000));
    links.run_until([&] { return links.arrived.size() == 3; });
    REQUIRE(links.arrived.size() == 3);
    const auto* run = std::get_if<run_message>(&links.arrived.front());
    REQUIRE(run != nullptr);
    CHECK(run->body.size() == 8 * megabyte);
    CHECK(std::get<release_reservation_message>(links.arrived[1]).id == 2);
    CHECK(std::get<run_message>(links.arrived[2]).body == std::string(1'000, 'm'));
    CHECK(links.memory->reserved() == 8 * megabyte + 1'000);
    links.arrived.clear();
    CHECK(links.memory->reserved() == 0);
}

// Guards against a body without room that ends the process or the link, or whose sender believes
// that the request may have run.
TEST_CASE("a body without memory is read, dropped and reported as not run")
{
    connected_links links{megabyte};
    links.receiver->set_identified();
    links.sender->send(make_run(1, 2 * megabyte));
    links.sender->send(release_reservation_message{2});
    links.run_until([&] { return !links.arrived.empty() && !links.replies.empty(); });
    REQUIRE(links.arrived.size() == 1);
    CHECK(std::get<release_reservation_message>(links.arrived.front()).id == 2);
    REQUIRE(links.replies.size() == 1);
    CHECK(std::get<failed_message>(links.replies.front()).id == 1);
    CHECK(std::get<failed_message>(links.replies.front()).kind == run_failure::not_run);
    CHECK(links.memory->reserved() == 0);
    CHECK(links.closed == 0);
}

// Guards against strangers that make a node buffer a long message before they have named a node.
TEST_CASE("a long message before the hello closes the link")
{
    connected_links links{40 * megabyte};
    links.sender->send(make_run(1, megabyte));
    links.run_until([&] { return links.closed > 0; });
    CHECK(links.closed > 0);
    CHECK(links.arrived.empty());
    CHECK(links.memory->reserved() == 0);
}
