#include "Request/shared_slots_policy.h"

namespace hemlockwick {

auto SharedSlotsPolicy::Choose(const EndpointPool& pool,
                               const EndpointQuery& query, Random& /*random*/,
                               TimePoint now) -> std::optional<std::size_t> {
  auto best = std::optional<std::size_t>();
  for (const auto index : pool.Usable(now)) {
    const auto& tracked = pool.at(index);
    const auto may_start =
        query.work == WorkClass::kShort ||
        tracked.long_in_flight() < tracked.owned_long_slots();
    if (!may_start || tracked.in_flight() >= tracked.owned_slots()) {
      continue;
    }
    if (!best.has_value() || tracked.in_flight() < pool.at(*best).in_flight()) {
      best = index;
    }
  }
  return best;
}

}  // namespace hemlockwick
