#include "Edge/suspect_list.h"

#include <algorithm>

#include "Edge/health_report.h"

namespace hemlockwick {

auto SuspectList::Add(const std::vector<SharedSuspect>& suspects, TimePoint now)
    -> bool {
  std::erase_if(latest_, [now](const auto& entry) {
    return now - entry.second >= kReportLifetime;
  });
  auto has_new = false;
  for (const auto& suspect : suspects) {
    if (now - suspect.at >= kReportLifetime ||
        latest_.size() >= kMaxReportedEndpoints) {
      continue;
    }
    const auto [entry, is_new] =
        latest_.try_emplace({suspect.token, suspect.suspicion}, suspect.at);
    entry->second = std::max(entry->second, suspect.at);
    has_new = has_new || is_new;
  }
  return has_new;
}

void SuspectList::Clear(const std::vector<FlowToken>& alive) {
  for (const auto token : alive) {
    latest_.erase({token, Suspicion::kSilent});
  }
}

auto SuspectList::Current(TimePoint now) const -> std::vector<SharedSuspect> {
  auto current = std::vector<SharedSuspect>();
  for (const auto& [key, at] : latest_) {
    if (now - at < kReportLifetime) {
      current.push_back({key.first, at, key.second});
    }
  }
  return current;
}

}  // namespace hemlockwick
