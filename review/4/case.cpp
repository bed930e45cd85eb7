// The open connections to the store go silent while new ones work, and a route then moves to
// another service. The rule CONFIG holds if no request that is sent later than `config_apply` after
// the confirmation is run by the old service, from `contact` after the silence on.
#include "review/harness/fleet.hpp"

namespace {

using namespace review;
using std::chrono::milliseconds;

constexpr milliseconds silent_at{10'000};
constexpr milliseconds configured_after{500};
constexpr milliseconds config_apply{2'000};
constexpr milliseconds contact{3'000};
constexpr milliseconds end_after{20'000};
constexpr milliseconds request_interval{100};

int run(const std::string& record_path, const std::string& folder)
{
    record log{record_path};
    run_log runs{log};
    fleet machines{{{"vm-1", "books"}, {"vm-2", "ledger"}}, folder};
    if (!machines.start(make_configuration("r1", {{"entry", "books"}}))) {
        return 2;
    }
    target first{{"i-1", "books", machines.at(0).app_address(), machines.at(0).control(), 7,
                  milliseconds{10}},
                 runs};
    target second{{"i-2", "ledger", machines.at(1).app_address(), machines.at(1).control(), 7,
                   milliseconds{10}},
                  runs};
    first.start();
    second.start();
    pause(silent_at - elapsed());
    if (has_trouble()) {
        log.add("the open connections to the store go silent");
        machines.platform().silence_open_connections();
    }
    pause(configured_after);
    machines.platform().configure(make_configuration("r2", {{"entry", "ledger"}}));
    const milliseconds confirmed_at = elapsed();
    log.add("configuration r2 is confirmed");
    int sent = 0;
    int old_runs = 0;
    int new_runs = 0;
    milliseconds last_old{0};
    while (elapsed() < silent_at + end_after) {
        const std::string id = "a" + std::to_string(++sent);
        const milliseconds sent_at = elapsed();
        const exchange result = send_request(
            machines.at(static_cast<std::size_t>(sent) % 2).outbound(),
            make_request("POST", "entry", id, milliseconds{4'000}), milliseconds{4'500});
        const bool is_old = result.body.starts_with("answer of i-1 ");
        const bool is_bound =
            sent_at > confirmed_at + config_apply && sent_at > silent_at + contact;
        old_runs += is_old && is_bound ? 1 : 0;
        new_runs += result.status == 200 && !is_old ? 1 : 0;
        last_old = is_old ? sent_at : last_old;
        log.add("sent id=" + id + " sent_at_ms=" + std::to_string(sent_at.count()) + " node=vm-" +
                std::to_string(sent % 2 + 1) + " status=" + std::to_string(result.status) +
                " body=\"" + (result.status == 200 ? result.body : "") +
                "\" error=" + result.error);
        pause(request_interval);
    }
    log.add("run_by_old_service_too_late=" + std::to_string(old_runs) +
            " run_by_new_service=" + std::to_string(new_runs) +
            " last_by_old_service_after_ms=" + std::to_string((last_old - confirmed_at).count()));
    if (new_runs == 0 && !has_trouble()) {
        return 2;
    }
    return old_runs > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return argc == 3 ? run_case([&] { return run(argv[1], argv[2]); }) : 2;
}
