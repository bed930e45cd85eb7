#pragma once

#include <optional>
#include <string>

namespace dragonflyroad {

/// Why the last fallible call on this thread returned nothing: the step that failed, the peer
/// (node, upstream, store or file) it was dealing with, and what was seen.
struct failure {
    std::string step;
    std::string peer;
    std::string detail;
};

/// Records the reason for the calling thread and returns std::nullopt, so that a fallible function
/// can end with `return fail(...)`.
std::nullopt_t fail(std::string step, std::string peer, std::string detail);

/// The reason recorded last on this thread. Only meaningful after a call that returned nothing.
const failure& last_failure();

} // namespace dragonflyroad
