#include "Request/uniform_policy.h"

namespace hemlockwick {

auto UniformPolicy::Choose(const EndpointPool& pool,
                           const EndpointQuery& /*query*/, Random& random,
                           TimePoint now) -> std::optional<std::size_t> {
  const auto& usable = pool.Usable(now);
  if (usable.empty()) {
    return std::nullopt;
  }
  return usable[random.Below(usable.size())];
}

}  // namespace hemlockwick
