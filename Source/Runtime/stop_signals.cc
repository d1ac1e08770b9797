#include "Runtime/stop_signals.h"

namespace hemlockwick {

auto StopSignals() -> sigset_t {
  auto signals = sigset_t{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

void BlockStopSignals() {
  const auto signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void UnblockStopSignals() {
  const auto signals = StopSignals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

}  // namespace hemlockwick
