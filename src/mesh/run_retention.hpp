#pragma once

#include <chrono>

namespace dragonflyroad {

/// How long an outcome is kept, so that a node whose link failed can ask for it again.
inline constexpr std::chrono::milliseconds outcome_retention{4'000};

/// How long an ended run is remembered: longer than any caller waits, so that it is never reported
/// as not run.
inline constexpr std::chrono::milliseconds run_retention{60'000};

} // namespace dragonflyroad
