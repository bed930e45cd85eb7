#include "adapters/log.hpp"
#include "test/support/fake_upstream.hpp"
#include "test/support/raw_socket.hpp"
#include "test/support/test_node.hpp"

#include <cstdlib>
#include <doctest/doctest.h>
#include <fstream>
#include <mutex>
#include <regex>
#include <sstream>

using namespace dragonflyroad;
using namespace dragonflyroad::test;

namespace {

/// Records the externally visible output of a session as text: requests, responses, what the
/// upstream received, and the log lines. Values that differ from run to run are replaced by
/// placeholders.
class session {
public:
    explicit session(fake_upstream::script answers) : upstream(std::move(answers))
    {
        set_log_sink([this](const std::string& line) {
            const std::scoped_lock lock{this->mutex};
            this->log += line + '\n';
        });
        this->fleet.start();
        this->fleet.announce(this->upstream.address());
    }
    session(const session&) = delete;
    session& operator=(const session&) = delete;
    session(session&&) = delete;
    session& operator=(session&&) = delete;
    ~session() { set_log_sink({}); }

    void send(const std::string& bytes)
    {
        raw_client client{this->fleet.caller()};
        const auto answer = client.exchange(bytes);
        this->transcript += "== request\n" + bytes + "\n== answer" +
                            (answer.is_cut ? " (cut)" : "") + "\n" + answer.head + answer.body +
                            "\n";
    }

    std::string finish()
    {
        this->fleet.values->end_watches();
        this->fleet.running->stop();
        for (const std::string& request : this->upstream.requests()) {
            this->transcript += "== upstream received\n" + request + "\n";
        }
        const std::scoped_lock lock{this->mutex};
        std::string text = this->transcript + "== log\n" + this->log;
        const std::vector<std::pair<std::string, std::string>> names{
            {this->upstream.address(), "UPSTREAM"},
            {this->fleet.caller(), "CALLER"},
            {this->fleet.admin(), "ADMIN"},
            {this->fleet.running->peer_address(), "PEER"}};
        for (const auto& [value, name] : names) {
            text = std::regex_replace(text, std::regex{value}, name);
        }
        text = std::regex_replace(text, std::regex{"X-Deadline-Ms: [0-9]+"}, "X-Deadline-Ms: N");
        return std::regex_replace(text, std::regex{"\r"}, "");
    }

    test_node fleet;

private:
    fake_upstream upstream;
    std::mutex mutex;
    std::string log;
    std::string transcript;
};

/// Compares with test/golden/NAME.txt. If DRAGONFLYROAD_UPDATE_GOLDEN is set, a file that differs
/// is replaced; the test still fails, so that someone reviews the change.
void compare(const std::string& name, const std::string& actual)
{
    const std::string path = std::string{DRAGONFLYROAD_TEST_DIR} + "/golden/" + name + ".txt";
    std::stringstream expected;
    expected << std::ifstream{path}.rdbuf();
    const bool is_same = expected.str() == actual;
    CHECK_MESSAGE(is_same, "actual session:\n" << actual);
    if (!is_same && std::getenv("DRAGONFLYROAD_UPDATE_GOLDEN") != nullptr) {
        std::ofstream{path} << actual;
    }
}

fake_upstream::reply answer_ok(const std::string&)
{
    return {plain_answer(200, "the marks", "X-Mark: %41\r\nKeep-Alive: timeout=5\r\n"), false,
            false};
}

const std::string key = "Authorization: Bearer acme-key\r\n";

} // namespace

// Guards against unintended changes of what clients and upstreams receive in an ordinary session.
TEST_CASE("golden session: answered requests")
{
    session run{answer_ok};
    run.send(request_text("GET", "/marks/1?term=2",
                          key + "X-Organisation: other\r\nTE: trailers\r\nAccept: text/plain\r\n"));
    run.send(request_text("POST", "/marks", key + "Content-Type: text/plain\r\n", "a mark"));
    compare("answered", run.finish());
}

// Guards against unintended changes of the responses to refused requests and of their log lines.
TEST_CASE("golden session: refused requests")
{
    session run{answer_ok};
    run.send(request_text("GET", "/marks/1", ""));
    run.send(request_text("GET", "/marks/1", "Authorization: Basic abc\r\n"));
    run.send(request_text("GET", "/marks/1", "Authorization: Bearer other-key\r\n"));
    run.send(request_text("GET", "/marksheet", key));
    run.send(request_text("GET", "/marks/../x", key));
    compare("refused", run.finish());
}

// Guards against unintended changes of the response and the log lines when an upstream dies.
TEST_CASE("golden session: an upstream that dies")
{
    session run{[](const std::string& request) {
        return request.starts_with("POST")
                   ? fake_upstream::reply{"", true, false}
                   : fake_upstream::reply{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true,
                                          false};
    }};
    run.send(request_text("POST", "/marks", key, "a mark"));
    run.send(request_text("GET", "/marks/1", key));
    compare("upstream_died", run.finish());
}
