#ifndef HEMLOCKWICK_MEASURE_TOKEN_RIVALS_H_
#define HEMLOCKWICK_MEASURE_TOKEN_RIVALS_H_

#include <memory>
#include <vector>

#include "Core/hash.h"
#include "Core/time.h"
#include "Flow/endpoint_directory.h"
#include "Flow/flow_affinity.h"
#include "Measure/pattern_endpoint.h"

namespace hemlockwick {

// What a way to place flows may be built from.
struct PlacementInputs {
  InstanceId instance;
  DataCentreId data_centre;
  bool learns_capacity;  // Of TokenRouterSettings.
  // The endpoints themselves, for a rival that sees everything; the endpoint
  // with id N is at position N - 1.
  const std::vector<PatternEndpoint>& endpoints;
};

// Opens flows by a hash of the caller among the listed endpoints.
struct HashPlacement {
  static auto Choose(const PlacementInputs&,
                     std::span<const EndpointPointer> takers, FlowKey flow)
      -> const DirectoryEndpoint* {
    constexpr std::uint64_t kSeed = 0x706C6163;
    const auto index = MixWords(flow.value(), kSeed) % takers.size();
    return takers[index].get();
  }
};

// Opens flows where the least work is, as no instance can know it.
struct OraclePlacement {
  static auto Choose(const PlacementInputs& inputs,
                     std::span<const EndpointPointer> takers, FlowKey)
      -> const DirectoryEndpoint* {
    const DirectoryEndpoint* best = nullptr;
    auto least = std::size_t{0};
    for (const auto& taker : takers) {
      const auto& candidate = *taker;
      const auto& endpoint = inputs.endpoints[candidate.report.id.value() - 1];
      const auto work = endpoint.open_work();
      if (!endpoint.is_dark() && (best == nullptr || work < least)) {
        best = &candidate;
        least = work;
      }
    }
    return best;
  }
};

// A rival of TokenRouter: the same tokens, another placement, no passive
// health. A model of FlowAffinity.
template <typename Placement>
class RivalRouter {
 public:
  using Packet = TokenPacket;
  using Action = TokenAction;

  explicit RivalRouter(const PlacementInputs& inputs) : inputs_(inputs) {}

  auto Update(std::shared_ptr<const DirectorySnapshot> directory, TimePoint)
      -> std::vector<ResetFlow> {
    directory_ = std::move(directory);
    return {};
  }

  auto Decide(const TokenPacket& packet, TimePoint) -> TokenAction {
    const auto* endpoint = directory_->Find(TokenOf(packet));
    if (packet.opens) {
      const auto* const route = directory_->FindRoute(packet.service);
      const auto takers =
          directory_->EligibleEndpointsOf(route->targets.front().service);
      const auto flow = FlowKeyOf(FlowIdOf(packet));
      endpoint =
          takers.empty() ? nullptr : Placement::Choose(inputs_, takers, flow);
    }
    if (endpoint == nullptr) {
      return ResetFlow{packet.caller, packet.service, packet.ack,
                       ResetReason::kNoEndpoint};
    }
    return ForwardWithToken{endpoint->report.id, endpoint->report.address,
                            ToWire(endpoint->token, packet.service)};
  }

  auto OnTick(TimePoint) -> std::vector<ResetFlow> { return {}; }
  void ApplySharedSuspects(const std::vector<SharedSuspect>&, TimePoint) {}
  auto TakeObservations() -> EndpointObservations { return {}; }
  auto TakeReplySummaries(TimePoint) -> std::vector<ReplySummary> { return {}; }
  void ApplySharedSpeeds(const std::vector<SharedSpeed>&, TimePoint) {}

 private:
  const PlacementInputs inputs_;
  std::shared_ptr<const DirectorySnapshot> directory_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_TOKEN_RIVALS_H_
