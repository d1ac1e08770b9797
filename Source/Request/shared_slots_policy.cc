#include "Request/shared_slots_policy.h"

namespace hemlockwick {

auto SharedSlotsPolicy::Choose(const EndpointPool& pool,
                               const DispatchNeed& need, Random& /*random*/,
                               TimePoint now) -> std::optional<std::size_t> {
  auto best = std::optional<std::size_t>();
  for (const auto index : pool.Usable(now)) {
    const auto& track = pool.at(index);
    const auto may_start = need.work == WorkClass::kShort ||
                           track.long_in_flight() < track.owned_long_slots();
    if (!may_start || track.in_flight() >= track.owned_slots()) {
      continue;
    }
    if (!best.has_value() || track.in_flight() < pool.at(*best).in_flight()) {
      best = index;
    }
  }
  return best;
}

}  // namespace hemlockwick
