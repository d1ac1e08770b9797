#include "Edge/suspect_list.h"

#include <algorithm>

#include "Edge/sign_report.h"

namespace hemlockwick {

auto SuspectList::Add(const std::vector<SharedSuspect>& suspects, TimePoint now)
    -> bool {
  std::erase_if(latest_, [now](const auto& entry) {
    return now - entry.second >= kReportTime;
  });
  auto has_new = false;
  for (const auto& suspect : suspects) {
    if (now - suspect.at >= kReportTime ||
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

auto SuspectList::Present(TimePoint now) const -> std::vector<SharedSuspect> {
  auto present = std::vector<SharedSuspect>();
  for (const auto& [key, at] : latest_) {
    if (now - at < kReportTime) {
      present.push_back({key.first, at, key.second});
    }
  }
  return present;
}

}  // namespace hemlockwick
