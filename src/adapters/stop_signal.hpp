#pragma once

namespace dragonflyroad {

/// Blocks SIGTERM and SIGINT in this thread and the threads it starts later, so that only
/// wait_for_stop_signal() receives them, and ignores SIGPIPE. Must be called before any thread is
/// started.
void block_stop_signals();

/// Waits for SIGTERM or SIGINT and returns the signal.
int wait_for_stop_signal();

} // namespace dragonflyroad
