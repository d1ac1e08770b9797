#ifndef HEMLOCKWICK_FLOW_WEIGHTED_WORK_H_
#define HEMLOCKWICK_FLOW_WEIGHTED_WORK_H_

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "Core/hash.h"
#include "Core/time.h"
#include "Flow/data_centre_loads.h"
#include "Flow/flow_id.h"

namespace hemlockwick {

// Weight above which a cold endpoint does not rise: it is slower than usual,
// and its first replies take 2 s to be known everywhere.
inline constexpr double kMaxColdWeight = 1 / 1.6;

// Cost of placing the flow on the candidate: its open work, and a random part
// of about one open flow, both divided by its weight.
//
// The random part is exponentially distributed and the same for a flow and an
// endpoint on all instances (weighted rendezvous hashing): among endpoints
// without open work, the chance of each is in proportion to its weight.
// Otherwise all instances would choose the endpoint most recently found to be
// the fastest. It covers one open flow because an instance of many has about
// one on each endpoint: if that one excluded the endpoint, fast endpoints would
// get less than their share.
[[nodiscard]] inline auto WeightedWorkCost(const EndpointCandidate& candidate,
                                           FlowKey flow, TimePoint now)
    -> double {
  constexpr double kRandomCost = 0.1;
  constexpr int kHashBits = 64;
  constexpr int kPrecisionBits = 53;
  constexpr auto kRange =
      static_cast<double>(std::uint64_t{1} << kPrecisionBits);
  const auto& endpoint = *candidate.endpoint;
  const auto hash = MixWords(flow.value(), endpoint.token.value());
  const auto uniform =
      (static_cast<double>(hash >> (kHashBits - kPrecisionBits)) + 0.5) /
      kRange;
  const auto drawn = -std::log(uniform) * kRandomCost / endpoint.report.slots;
  const auto is_cold = now < endpoint.report.cold_until;
  const auto weight =
      is_cold ? std::min(candidate.weight, kMaxColdWeight) : candidate.weight;
  return (OwnLoadOf(candidate) + drawn) / weight;
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_WEIGHTED_WORK_H_
