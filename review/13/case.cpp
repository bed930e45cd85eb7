#include "../harness-3/fleet.hpp"
#include "../harness-3/record.hpp"

#include <string>
#include <vector>

using namespace review;

namespace {

/// Transfer codings of a body that is neither in chunks nor of a stated length.
const std::vector<std::string> codings{"gzip", "identity", "chunked, identity", "chunked, gzip"};

/// What a requester sends as the body of a request: a text that reads like a request.
std::string body_for(std::size_t number)
{
    message text;
    text.start_line = "POST /unsafe/submit?work=50 HTTP/1.1";
    text.headers = {{"Host", "marks.example"},
                    {"X-Attempt-Id", "inside-" + std::to_string(number)},
                    {"X-Deadline-Ms", "2000"}};
    text.body = "voucher";
    return text.bytes();
}

/// Sends one request and reads what comes on its connection. Returns the number of successes.
int send_one(const address& node, std::size_t number)
{
    const std::string body = body_for(number);
    const std::string framing = has_trouble() ? "Transfer-Encoding: " + codings[number]
                                              : "Content-Length: " + std::to_string(body.size());
    const auto opened = connection::open(node);
    const std::string id = "outside-" + std::to_string(number);
    if (opened == nullptr ||
        !opened->send("POST /unsafe/submit?work=50 HTTP/1.1\r\nHost: marks.example\r\n"
                      "X-Attempt-Id: " +
                      id + "\r\nX-Deadline-Ms: 2000\r\n" + framing + "\r\n\r\n" + body)) {
        return 0;
    }
    record("client: sends " + id + " with " + framing + ", the body reads like a request");
    int successes = 0;
    message answer;
    while (opened->read(answer, after(milliseconds{1'500})) == read_outcome::complete) {
        record("client: reads an answer " + std::to_string(answer.status()) + " of attempt '" +
               answer.header("X-Attempt-Id") + "'");
        successes += answer.status() == 200 ? 1 : 0;
    }
    return successes;
}

int play(fleet& all)
{
    auto configuration = empty_configuration(7);
    configuration["routes"]["r-1"] = route("marks", "unsafe");
    if (!all.start({{"n1", "a", "marks"}, {"n2", "a", "marks"}}, configuration)) {
        return could_not_run;
    }
    int successes = 0;
    for (std::size_t number = 0; number < codings.size(); ++number) {
        successes += send_one(all.nodes[0]->outbound(), number);
    }
    int smuggled = 0;
    for (const auto& target : all.targets) {
        for (const auto& run : target->runs()) {
            smuggled += run.attempt.starts_with("inside-") ? 1 : 0;
        }
    }
    record("requests sent: " + std::to_string(codings.size()) + ", successes read: " +
           std::to_string(successes) + ", bodies that a target ran: " + std::to_string(smuggled));
    return smuggled > 0 ? broken : held;
}

} // namespace

int main()
{
    return run_case("review/13/record.txt", play);
}
