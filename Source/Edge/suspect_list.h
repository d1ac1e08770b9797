#ifndef HEMLOCKWICK_EDGE_SUSPECT_LIST_H_
#define HEMLOCKWICK_EDGE_SUSPECT_LIST_H_

#include <map>
#include <utility>
#include <vector>

#include "Core/time.h"
#include "Flow/endpoint_stats.h"

namespace hemlockwick {

// Suspect endpoints from several sources, each with the time of its latest
// report.
class SuspectList {
 public:
  // Adds suspects whose report still counts. Returns whether any of them is
  // new.
  auto Add(const std::vector<SharedSuspect>& suspects, TimePoint now) -> bool;

  // Removes suspicions of silence of endpoints that have answered.
  void Clear(const std::vector<FlowToken>& alive);

  // Suspects whose latest report still counts.
  [[nodiscard]] auto Current(TimePoint now) const -> std::vector<SharedSuspect>;

 private:
  using Key = std::pair<FlowToken, Suspicion>;

  std::map<Key, TimePoint> latest_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_SUSPECT_LIST_H_
