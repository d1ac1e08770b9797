#ifndef HEMLOCKWICK_EDGE_SUSPECT_LIST_H_
#define HEMLOCKWICK_EDGE_SUSPECT_LIST_H_

#include <map>
#include <utility>
#include <vector>

#include "Core/time.h"
#include "Flow/endpoint_stats.h"

namespace hemlockwick {

// Shared suspects from several sources, each with its latest report.
class SuspectList {
 public:
  // Returns whether one of them is new.
  auto Add(const std::vector<SharedSuspect>& suspects, TimePoint now) -> bool;

  // Forgets that endpoints were silent: they have answered.
  void Clear(const std::vector<FlowToken>& alive);

  // Those whose latest report still counts.
  [[nodiscard]] auto Current(TimePoint now) const -> std::vector<SharedSuspect>;

 private:
  using Key = std::pair<FlowToken, Suspicion>;

  std::map<Key, TimePoint> latest_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_SUSPECT_LIST_H_
