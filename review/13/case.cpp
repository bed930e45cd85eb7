#include "../harness-3/fleet.hpp"
#include "../harness-3/record.hpp"

#include <csignal>
#include <string>
#include <thread>
#include <vector>

using namespace review;

namespace {

constexpr std::size_t connections = 6;

struct reply {
    read_outcome outcome = read_outcome::timed_out;
    int status = 0;
};

message get(const std::string& attempt, int work)
{
    message request;
    request.start_line = "GET /safe/read?work=" + std::to_string(work) + " HTTP/1.1";
    request.headers = {
        {"Host", "reads.example"}, {"X-Attempt-Id", attempt}, {"X-Deadline-Ms", "5000"}};
    return request;
}

/// Sends two safe requests, the second before the first has been answered, and reads both answers.
void call_twice(const address& node, std::size_t index, reply& second)
{
    const auto opened = connection::open(node);
    const std::string first_id = "first-" + std::to_string(index);
    const std::string second_id = "second-" + std::to_string(index);
    if (opened == nullptr ||
        !opened->send(get(first_id, 870).bytes() + get(second_id, 1500).bytes())) {
        return;
    }
    record("client: sends " + first_id + " and " + second_id + " on one connection");
    for (const std::string& id : {first_id, second_id}) {
        message answer;
        reply got;
        got.outcome = opened->read(answer, after(milliseconds{5'000}));
        got.status = got.outcome == read_outcome::complete ? answer.status() : 0;
        record("client: " + id +
               (got.status == 0
                    ? " gets no answer, the connection has ended"
                    : " gets " + std::to_string(got.status) + ' ' + answer.header("Connection")));
        second = got;
        if (got.status == 0) {
            second = {};
            return;
        }
    }
}

int play(fleet& all)
{
    auto configuration = empty_configuration(7);
    configuration["routes"]["r-1"] = route("reads", "safe");
    if (!all.start({{"n1", "a", "reads"}, {"n2", "a", "reads"}, {"n3", "a", "reads"}},
                   configuration)) {
        return could_not_run;
    }
    std::vector<reply> replies(connections);
    std::vector<std::thread> clients;
    for (std::size_t index = 0; index < connections; ++index) {
        clients.emplace_back(
            [&, index] { call_twice(all.nodes[0]->outbound(), index, replies[index]); });
    }
    std::this_thread::sleep_for(milliseconds{400});
    if (has_trouble()) {
        all.nodes[0]->signal(SIGTERM);
    }
    for (std::thread& client : clients) {
        client.join();
    }
    std::size_t unanswered = 0;
    std::size_t lost = 0;
    for (std::size_t index = 0; index < connections; ++index) {
        const bool is_answered = replies[index].status != 0;
        unanswered += is_answered ? 0 : 1;
        for (const auto& target : all.targets) {
            for (const auto& run : target->runs()) {
                const bool is_second = run.attempt == "second-" + std::to_string(index);
                lost += is_second && !is_answered ? 1 : 0;
            }
        }
    }
    record("second requests without an answer: " + std::to_string(unanswered) +
           ", of these passed on to a target: " + std::to_string(lost));
    return lost > 0 ? broken : held;
}

} // namespace

int main()
{
    return run_case("review/13/record.txt", play);
}
