#pragma once

#include <optional>
#include <string>

namespace dragonflyroad {

/// Why the last fallible call on this thread failed: the step, the peer of that step (node,
/// upstream, store or file), and the cause.
struct failure {
    std::string step;
    std::string peer;
    std::string detail;
};

/// Records a failure for the calling thread and returns std::nullopt, so that a fallible function
/// can end with `return fail(...)`.
std::nullopt_t fail(std::string step, std::string peer, std::string detail);

/// The failure recorded last on this thread. Only valid after a call that reported failure.
const failure& last_failure();

} // namespace dragonflyroad
