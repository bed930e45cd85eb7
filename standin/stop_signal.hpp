#pragma once

namespace dragonflyroad::standin {

/// Blocks SIGTERM and SIGINT in this thread and the threads it starts later. Call before any thread
/// is started.
void block_stop_signals();

/// Waits for SIGTERM or SIGINT.
void wait_for_stop_signal();

} // namespace dragonflyroad::standin
