#ifndef HEMLOCKWICK_RUNTIME_STOP_SIGNALS_H_
#define HEMLOCKWICK_RUNTIME_STOP_SIGNALS_H_

#include <csignal>

namespace hemlockwick {

// The signals that ask a process for a planned stop: SIGTERM and SIGINT.
[[nodiscard]] auto StopSignals() -> sigset_t;

// Holds back stop signals in this thread, and in those that it starts, until
// the process can stop in order. A blocked signal stays pending.
void BlockStopSignals();

// Lets stop signals through again, pending ones at once. To be called when
// handlers are installed.
void UnblockStopSignals();

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_STOP_SIGNALS_H_
