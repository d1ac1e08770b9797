#ifndef HEMLOCKWICK_MEASURE_PROPAGATION_TRIALS_H_
#define HEMLOCKWICK_MEASURE_PROPAGATION_TRIALS_H_

#include <functional>
#include <string>
#include <vector>

#include "Measure/propagation_world.h"

namespace hemlockwick {

// A fault that comes right before a change is published.
struct PropagationTrial {
  std::string name;
  double loss = 0;
  std::function<void(PropagationWorld&)> strike;
  bool is_ordinary = false;  // As on any day.
};

[[nodiscard]] auto PropagationTrials() -> std::vector<PropagationTrial>;

struct PropagationOutcome {
  PropagationTimes spread;
  // A second, in the time that a change has until it is in force.
  double busiest_bytes = 0;  // Sent by one instance.
  double far_bytes = 0;      // Between data centres.
  double platform_calls = 0;
};

// Plays the trial in a settled fleet; the change is followed for `time`.
[[nodiscard]] auto PlayTrial(const PropagationTrial& trial,
                             PropagationSettings settings, Duration time)
    -> PropagationOutcome;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_PROPAGATION_TRIALS_H_
