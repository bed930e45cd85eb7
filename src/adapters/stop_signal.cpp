#include "adapters/stop_signal.hpp"

#include <csignal>

namespace dragonflyroad {
namespace {

sigset_t stop_signals()
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void block_stop_signals()
{
    const sigset_t signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int wait_for_stop_signal()
{
    const sigset_t signals = stop_signals();
    int received = 0;
    sigwait(&signals, &received);
    return received;
}

} // namespace dragonflyroad
