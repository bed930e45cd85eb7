#pragma once

#include "record.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review2 {

/// What a target does with one request.
struct run_plan {
    milliseconds work{0};
    int status = 200;
    /// The request isn't run: the answer bears X-Not-Executed.
    bool is_rejected = false;
    /// The target doesn't drop the request when its connection closes.
    bool outlasts_connection = false;
};

/// A request that a target began to run.
struct target_run {
    std::string id;
    std::string target;
    steady::time_point at{};
};

/// An application target beside a node: it runs requests and checks in at its node.
class target {
public:
    using plan_function = std::function<run_plan(const message& request)>;

    target(record& log, std::string service_name, std::string instance, plan_function function);

    /// `control` is the address of the node on the target's machine.
    void start(const endpoint& place, const endpoint& control, const std::string& zone,
               std::uint32_t slot_count);
    const std::string& instance() const { return this->id; }
    const std::string& service() const { return this->name; }
    std::vector<target_run> runs();
    std::size_t count_runs(const std::string& request_id);
    /// Sends a check-in now. False when the node did not acknowledge it.
    bool check_in();
    void set_state(const std::string& state) { this->state_name = state; }
    void stop_check_ins() { this->is_silent = true; }
    /// The process of the target ends; its connections close when they are used next.
    void go_down();
    /// The target starts again under the id that it had, and checks in. `clock_offset` is how far
    /// the time of day of its machine is ahead.
    void come_up(milliseconds clock_offset);
    /// Tells the node that the target leaves. False when the node did not acknowledge it.
    bool deregister();

private:
    void handle(connection& peer);
    bool answer(connection& peer, const message& request);

    record& journal;
    std::string name;
    std::string id;
    plan_function plan;
    endpoint address;
    endpoint node;
    std::string zone_name;
    std::uint32_t slots = 3;
    std::atomic<std::int64_t> born = 0;
    std::atomic<int> starts = 0;
    std::shared_ptr<std::atomic<bool>> listening_ended;
    std::atomic<std::int64_t> sequence = 0;
    std::atomic<bool> is_silent = false;
    std::string state_name = "ready";
    std::mutex mutex;
    std::vector<target_run> started;
};

} // namespace review2
