#ifndef HEMLOCKWICK_STANDIN_AWAIT_H_
#define HEMLOCKWICK_STANDIN_AWAIT_H_

#include <chrono>
#include <thread>

#include "Core/time.h"

namespace hemlockwick {

// How often an awaited condition is looked at.
inline constexpr Duration kAwaitInterval = std::chrono::milliseconds(20);

// Waits until `condition()` holds and returns true, or returns false after
// `bound`.
template <typename Condition>
auto Await(Condition&& condition, Duration bound) -> bool {
  const auto latest = std::chrono::steady_clock::now() + bound;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= latest) {
      return false;
    }
    std::this_thread::sleep_for(kAwaitInterval);
  }
  return true;
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_STANDIN_AWAIT_H_
