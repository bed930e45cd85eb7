#pragma once

#include "review/harness/http.hpp"
#include "review/harness/record.hpp"

#include <condition_variable>
#include <cstdint>
#include <vector>

namespace review {

struct target_options {
    std::string id;
    std::string service;
    std::string address;
    /// The control address of the node on the same machine.
    std::string control;
    int slots = 7;
    std::chrono::milliseconds work{100};
};

/// A request that a target began to run.
struct run_record {
    std::string id;
    std::string target;
    std::string service;
    std::string path;
    std::string caller;
    std::chrono::milliseconds at{0};
};

/// The runs of all targets of a case.
class run_log {
public:
    explicit run_log(record& sink) : written(sink) {}

    void add(run_record run);
    std::vector<run_record> all();
    std::size_t count(const std::string& id);

private:
    record& written;
    std::mutex mutex;
    std::vector<run_record> runs;
};

/// An application target: checks in at its node, runs requests in its slots, answers with its
/// signature and rejects what names another instance.
class target {
public:
    /// Takes a request over in place of the default handling. Returns nothing to leave it there.
    using hook = std::function<std::optional<bool>(target&, connection&, const request&)>;

    target(target_options initial, run_log& log, hook function = nullptr);
    target(const target&) = delete;
    target& operator=(const target&) = delete;
    target(target&&) = delete;
    target& operator=(target&&) = delete;
    ~target() { this->end(); }

    /// Listens and checks in every 1.5 s.
    void start();
    /// Ends without a word, as in a crash: connections and check-ins end.
    void end();
    /// Answers nothing more and checks in no more; connections stay open.
    void fall_silent() { this->is_silent = true; }
    /// Gives up the address; open connections stay silent.
    void leave_address() { this->server.close_listener(); }
    /// Sends one check-in and returns the status of its answer.
    int check_in(const std::string& state, std::int64_t sequence);
    int deregister();
    void stop_check_ins() { this->has_check_ins = false; }
    std::int64_t next_sequence() { return ++this->sequence; }

    const target_options& settings() const { return this->options; }
    /// Runs a request: waits for a slot, works, and gives the answer.
    response run(const request& received);
    /// The rejection of a request that is not run.
    response reject(const request& received, int status) const;
    /// An answer with signature to a request.
    response answer_to(const request& received) const;

private:
    bool handle(connection& link, const request& received);
    /// Waits for the end of the target without an answer.
    bool stay_silent();
    void check_in_repeatedly();

    target_options options;
    run_log& runs;
    hook special;
    http_server server;
    std::int64_t born = 0;
    std::atomic<std::int64_t> sequence{0};
    std::atomic<bool> is_silent{false};
    std::atomic<bool> has_check_ins{true};
    std::atomic<bool> is_ending{false};
    std::mutex mutex;
    std::condition_variable changed;
    int busy = 0;
    std::thread check_ins;
};

} // namespace review
