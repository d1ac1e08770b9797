#include "Request/two_choice_policy.h"

namespace hemlockwick {

auto TwoChoicePolicy::Choose(const EndpointPool& pool,
                             const EndpointQuery& /*query*/, Random& random,
                             TimePoint now) -> std::optional<std::size_t> {
  const auto& usable = pool.Usable(now);
  if (usable.empty()) {
    return std::nullopt;
  }
  const auto first = usable[random.Below(usable.size())];
  const auto second = usable[random.Below(usable.size())];
  const auto first_load = pool.at(first).reported_load();
  const auto second_load = pool.at(second).reported_load();
  return second_load < first_load ? second : first;
}

}  // namespace hemlockwick
