#include "Request/shed_feedback_policy.h"

#include <chrono>
#include <cstdint>
#include <utility>

namespace hemlockwick {

namespace {

// An endpoint that shed an attempt is tried again after this long.
constexpr Duration kReprobeDelay = std::chrono::milliseconds(5);

// Slots of an endpoint that work of a class may use.
auto SlotsFor(const TrackedEndpoint& tracked, WorkClass work) -> std::uint32_t {
  const auto reserved =
      work == WorkClass::kLong && tracked.slots() > 1 ? 1U : 0U;
  return tracked.slots() - reserved;
}

}  // namespace

auto ShedFeedbackPolicy::Choose(const EndpointPool& pool,
                                const EndpointQuery& query, Random& random,
                                TimePoint now) -> std::optional<std::size_t> {
  const auto& usable = pool.Usable(now);
  auto best = std::optional<std::size_t>();
  auto best_rank = std::pair<std::uint32_t, double>();
  for (const auto index : usable) {
    const auto& tracked = pool.at(index);
    const auto was_shed = now - tracked.shed_at() < kReprobeDelay;
    if (was_shed || tracked.in_flight() >= SlotsFor(tracked, query.work)) {
      continue;
    }
    const auto rank = std::pair(tracked.in_flight(), random.Uniform01());
    if (!best.has_value() || rank < best_rank) {
      best = index;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace hemlockwick
