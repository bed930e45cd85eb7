#pragma once

#include "net.hpp"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/// A stand-in for an application target. It works on a request for as long as the query's `work`
/// says, in milliseconds, drops it when its connection closes, and tells its load.
class target_server {
public:
    struct options {
        std::string id;
        std::string service;
        std::string zone;
        address local;
        /// Where its machine's node takes check-ins.
        address control;
        int slots = 7;
        std::int64_t born = 0;
    };

    enum class run_end { open, answered, dropped };

    struct run {
        std::string attempt;
        std::string path;
        milliseconds begun{0};
        run_end end = run_end::open;
    };

    explicit target_server(options wanted);

    bool listen();
    /// Sends a check-in now and then every 1.5 s until the target deregisters.
    void start_check_ins();
    /// Sends one check-in with this sequence. False when it is not acknowledged.
    bool check_in(const std::string& state, std::int64_t sequence);
    std::int64_t last_sequence() const { return this->sequence; }
    /// Stops the check-ins and deregisters. False when the call is not acknowledged.
    bool deregister();
    /// The target's process ends: its listener and its connections are closed.
    void end();

    std::vector<run> runs();
    const std::string& id() const { return this->settings.id; }

private:
    void handle(connection& caller);
    message serve_request(const message& request, connection& caller);
    message respond(int status, const message& request, const std::string& body) const;

    options settings;
    std::mutex guard;
    std::vector<run> recorded;
    std::atomic<int> busy{0};
    std::atomic<std::int64_t> sequence{0};
    std::atomic<bool> reports{false};
    std::atomic<bool> has_ended{false};
    int listener = -1;
};

} // namespace review
