#include "test/support/runner_beside_upstream.hpp"
#include "test/support/scripted_upstream.hpp"

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

constexpr incarnation former_process = 11;
constexpr incarnation present_process = 12;

/// The node beside an upstream, with links from successive processes of one other node.
struct restarted_peer {
    explicit restarted_peer(scripted_upstream::script replies)
        : upstream(beside.loop, std::move(replies))
    {
        this->beside.start_upstream("first", "books", 2, this->upstream.address());
    }

    /// Opens a link from a process of the other node; what is sent on it from now on is collected
    /// in `replies`.
    void open_link(incarnation process, std::vector<run_id> open_runs = {})
    {
        this->beside.replies.clear();
        this->beside.runner.on_link_opened(node_id{"caller"},
                                           {node_id{"caller"}, process, "", std::move(open_runs)},
                                           this->beside.collect);
    }

    void start_run(run_id id, const std::string& request)
    {
        this->beside.reserve(id);
        run_message message;
        message.id = id;
        message.time_left = 2s;
        message.head.method = "POST";
        message.head.target = "/";
        message.head.headers = {{"Host", "books.example"}, {"X-Attempt-Id", request}};
        this->beside.runner.receive(node_id{"caller"}, message, this->beside.collect);
    }

    void finish_runs()
    {
        const time_point end = boot_clock::now() + 2s;
        while (boot_clock::now() < end && this->beside.runner.busy_slot_count() > 0) {
            this->beside.loop.run_one_for(10ms);
        }
    }

    template<typename Message>
    std::vector<Message> received() const
    {
        std::vector<Message> found;
        for (const link_message& reply : this->beside.replies) {
            if (const auto* typed = std::get_if<Message>(&reply)) {
                found.push_back(*typed);
            }
        }
        return found;
    }

    runner_beside_upstream beside;
    scripted_upstream upstream;
};

scripted_reply answer_with_id(std::size_t, const http_request& request)
{
    return {signed_response(200, attempt_id(request), "answer to " + attempt_id(request))};
}

scripted_reply refuse(std::size_t, const http_request& request)
{
    return {refusal_response(attempt_id(request))};
}

} // namespace

// Guards against an answer that reaches another caller: a restarted node numbers its runs from the
// beginning, and the answer to its former process's run was sent to it under that number.
TEST_CASE("the outcome of a run is not sent to a later process of the node that started it")
{
    SUBCASE("an answer")
    {
        restarted_peer peer{answer_with_id};
        peer.open_link(former_process);
        peer.start_run(1, "former");
        peer.open_link(present_process);
        peer.start_run(1, "present");
        peer.finish_runs();
        const auto answers = peer.received<response_message>();
        CHECK(answers.size() == 1);
        for (const response_message& answer : answers) {
            CHECK(answer.body == "answer to present");
        }
    }
    SUBCASE("a statement that the request has not run")
    {
        restarted_peer peer{refuse};
        peer.open_link(former_process);
        peer.start_run(1, "former");
        peer.open_link(present_process);
        peer.beside.reserve(1);
        peer.finish_runs();
        CHECK(peer.received<failed_message>().empty());
    }
    SUBCASE("a run that is cut by the end of this node")
    {
        restarted_peer peer{answer_with_id};
        peer.open_link(former_process);
        peer.start_run(1, "former");
        peer.open_link(present_process);
        peer.beside.runner.fail_open_runs();
        CHECK(peer.received<failed_message>().empty());
    }
}

// Guards against an unsafe request that runs twice: the hello of a former process may be read after
// that of the present one, and the runs of the present one were then reported as not handed over.
TEST_CASE("a late hello of a former process does not make open runs count as not run")
{
    restarted_peer peer{answer_with_id};
    peer.open_link(present_process);
    peer.start_run(1, "present");
    peer.open_link(former_process);
    peer.open_link(present_process, {1});
    CHECK(peer.received<failed_message>().empty());
    peer.finish_runs();
    const auto answers = peer.received<response_message>();
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().body == "answer to present");
}

// Guards against a planned stop that waits for seconds to deliver an outcome that no process asks
// for.
TEST_CASE("the outcome of a former process's run does not delay a stop")
{
    restarted_peer peer{answer_with_id};
    peer.open_link(former_process);
    peer.start_run(1, "former");
    peer.open_link(present_process);
    peer.finish_runs();
    CHECK_FALSE(peer.beside.runner.has_undelivered_outcome(boot_clock::now()));
}
