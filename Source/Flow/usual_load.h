#ifndef HEMLOCKWICK_FLOW_USUAL_LOAD_H_
#define HEMLOCKWICK_FLOW_USUAL_LOAD_H_

#include <chrono>
#include <cmath>

#include "Core/time.h"

namespace hemlockwick {

// Mean of a load over the recent past, in which later values count for more. It
// follows the swings of a day, but not the loss of some endpoints or a crowd of
// callers.
class UsualLoad {
 public:
  explicit UsualLoad(TimePoint now) : updated_(now) {}

  void Update(double load, TimePoint now) {
    constexpr auto kMeanTime = std::chrono::duration<double>(10);
    const auto time = std::chrono::duration<double>(now - updated_);
    load_ += (load - load_) * (1 - std::exp(-time / kMeanTime));
    updated_ = now;
  }

  [[nodiscard]] auto load() const -> double { return load_; }

 private:
  double load_ = 0;
  TimePoint updated_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_USUAL_LOAD_H_
