// A target gives an extra answer to an earlier request where the answer to the next one is due.
// The extra answer has no length and ends with its connection. The rule MIXED holds if no caller
// gets it.
#include "review/harness/fleet.hpp"

#include <map>

namespace {

using namespace review;
using std::chrono::milliseconds;

constexpr int request_count = 600;

/// One answer in this many is followed by an extra one: below 3 in 100.
constexpr int answers_per_extra = 40;

/// A target of which a small share of the answers is followed by a late extra answer.
class garbling_target {
public:
    explicit garbling_target(record& sink) : log(sink) {}

    std::optional<bool> handle(target& self, connection& link, const request& received)
    {
        std::optional<request> extra;
        {
            const std::lock_guard lock{this->mutex};
            const auto found = this->pending.find(&link);
            if (found != this->pending.end()) {
                extra = found->second;
                this->pending.erase(found);
            }
            else if (has_trouble() && ++this->answers % answers_per_extra == 0) {
                this->pending[&link] = received;
            }
        }
        if (!extra) {
            return std::nullopt;
        }
        self.run(received);
        const response late = self.answer_to(*extra);
        const std::string id{late["X-Attempt-Id"]};
        const std::string signature{late["X-Response-Signature"]};
        this->log.add("extra answer of id=" + id +
                      " where that of id=" + std::string{received["X-Attempt-Id"]} + " is due");
        link.write_text("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: " +
                        signature + "\r\nConnection: close\r\n\r\n" + late.body());
        return false;
    }

private:
    record& log;
    std::mutex mutex;
    std::map<connection*, request> pending;
    int answers = 0;
};

int run(const std::string& record_path, const std::string& folder)
{
    record log{record_path};
    run_log runs{log};
    garbling_target garbling{log};
    fleet machines{{{"vm-1", "books"}, {"vm-2", "books"}}, folder};
    if (!machines.start(make_configuration("r1", {{"books", "books"}}))) {
        return 2;
    }
    target sound{{"i-1", "books", machines.at(0).app_address(), machines.at(0).control(), 7,
                  milliseconds{10}},
                 runs};
    target faulty{{"i-2", "books", machines.at(1).app_address(), machines.at(1).control(), 7,
                   milliseconds{10}},
                  runs,
                  [&](target& self, connection& link, const request& received) {
                      return garbling.handle(self, link, received);
                  }};
    sound.start();
    faulty.start();
    pause(milliseconds{5'000});
    int foreign = 0;
    int served = 0;
    for (int number = 0; number < request_count; ++number) {
        const std::string id = "a" + std::to_string(number);
        const exchange result = send_request(
            machines.at(static_cast<std::size_t>(number) % 2).outbound(),
            make_request("POST", "books", id, milliseconds{4'000}), milliseconds{4'500});
        const bool is_own = result.body.ends_with(" to " + id);
        served += result.status == 200 && is_own ? 1 : 0;
        foreign += result.status == 200 && !is_own ? 1 : 0;
        log.add("sent id=" + id + " status=" + std::to_string(result.status) +
                " answered_id=" + result.answered_id + " body=\"" +
                (result.status == 200 ? result.body : "") + "\" error=" + result.error);
    }
    log.add("served=" + std::to_string(served) + " foreign=" + std::to_string(foreign));
    if (served < request_count / 2) {
        return 2;
    }
    return foreign > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return argc == 3 ? run_case([&] { return run(argv[1], argv[2]); }) : 2;
}
