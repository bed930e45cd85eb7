#include "test/support/mesh_fleet.hpp"
#include "test/support/scripted_upstream.hpp"

#include <cstddef>
#include <memory>
#include <vector>

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

/// A fleet whose upstreams end when they begin to run an unsafe request.
class crashing_fleet {
public:
    explicit crashing_fleet(std::size_t vms) : fleet(vms), upstreams(vms)
    {
        for (std::size_t vm = 0; vm < vms; ++vm) {
            this->start_upstream(vm);
        }
    }

    /// Starts a new lifetime of an upstream, at a new address.
    void start_upstream(std::size_t vm)
    {
        this->upstreams[vm] = std::make_unique<scripted_upstream>(
            this->fleet.context, [this, vm](std::size_t, const http_request& request) {
                if (request.head.method == "GET") {
                    return scripted_reply{signed_response(200, attempt_id(request), "own")};
                }
                ++this->crashes;
                this->upstreams[vm]->stop_listening();
                return scripted_reply{"", after_reply::close};
            });
        this->fleet.vms[vm].upstream_address = this->upstreams[vm]->address();
        this->fleet.check_in(vm, "ready", 1, ++this->lifetimes);
    }

    void wait(std::chrono::milliseconds time)
    {
        this->fleet.run_until([] { return false; }, time);
    }

    mesh_fleet fleet;
    std::vector<std::unique_ptr<scripted_upstream>> upstreams;
    std::size_t crashes = 0;
    std::int64_t lifetimes = 1000;
};

} // namespace

// Guards against a request that comes again at any node and crashes every upstream that runs it
// (review case 5: it was sent on without end, and the other requests there were lost with it).
TEST_CASE("a request that has crashed three upstreams is refused by every node")
{
    crashing_fleet crashing{4};
    for (std::size_t vm = 0; vm < 3; ++vm) {
        CHECK(crashing.fleet.exchange(vm, "POST").response.status == 502);
        crashing.wait(500ms);
    }
    CHECK(crashing.crashes == 3);
    CHECK(crashing.fleet.store.count("dragonflyroad/crash/") == 3);
    for (std::size_t vm = 0; vm < 4; ++vm) {
        const auto refused = crashing.fleet.exchange(vm, "POST");
        CHECK(refused.response.status == 503);
        CHECK(refused.response.body.find("\"reason\":\"crash_suspect\"") != std::string::npos);
        CHECK(refused.response.body.find("\"ran\":\"no\"") != std::string::npos);
        CHECK(crashing.fleet.exchange(vm, "GET").response.status == 200);
    }
    CHECK(crashing.crashes == 3);
}

// Guards against crashes of one upstream, started again each time, that count as a single one, and
// against a crash that is not noticed because the upstream is back before anything reaches it.
TEST_CASE("each lifetime of one upstream counts as a crash of its own")
{
    crashing_fleet crashing{1};
    for (int round = 0; round < 3; ++round) {
        CHECK(crashing.fleet.exchange(0, "POST").response.status == 502);
        crashing.start_upstream(0);
        crashing.wait(300ms);
    }
    CHECK(crashing.fleet.exchange(0, "POST").response.status == 503);
    CHECK(crashing.crashes == 3);
}

// Guards against a failing upstream that is taken for one that crashes: it closes connections in
// the middle of a run and goes on listening.
TEST_CASE("a request whose connections are closed by an upstream that lives on is not blocked")
{
    mesh_fleet fleet{1};
    std::size_t runs = 0;
    scripted_upstream upstream{fleet.context, [&](std::size_t, const http_request&) {
                                   ++runs;
                                   return scripted_reply{"", after_reply::close};
                               }};
    fleet.vms[0].upstream_address = upstream.address();
    fleet.check_in(0, "ready", 2);
    for (int round = 0; round < 4; ++round) {
        fleet.exchange(0, "POST");
        fleet.run_until([] { return false; }, 700ms);
    }
    CHECK(runs == 4);
    CHECK(fleet.store.count("dragonflyroad/crash/") == 0);
}
