#include "standin/stop_signal.hpp"

#include <csignal>

namespace dragonflyroad::standin {
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
}

void wait_for_stop_signal()
{
    const sigset_t signals = stop_signals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace dragonflyroad::standin
