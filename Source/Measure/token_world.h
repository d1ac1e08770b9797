#ifndef HEMLOCKWICK_MEASURE_TOKEN_WORLD_H_
#define HEMLOCKWICK_MEASURE_TOKEN_WORLD_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Core/random.h"
#include "Edge/health_aggregator.h"
#include "Flow/flow_affinity.h"
#include "Flow/speed_estimator.h"
#include "Flow/token_router.h"
#include "Measure/event_queue.h"
#include "Measure/pattern_fleet.h"
#include "Measure/pattern_load.h"
#include "Measure/token_outcome.h"
#include "Measure/token_pattern.h"
#include "Measure/token_rivals.h"

namespace hemlockwick {

// Plays a pattern in virtual time: callers, instances that place flows with
// `Router`, endpoints. Callers send an opening again after 200 and 600 ms, data
// after 200 ms and then twice as long each time, and try again on a new flow
// when one is reset; requests that are not idempotent only before it was open.
// A caller's packets go to any instance of its data centre, always the same one
// for a flow.
template <typename Router>
class TokenWorld {
 public:
  // Endpoints' capacity is learned only with `learns_capacity`.
  TokenWorld(const TokenPattern& pattern, std::uint64_t seed,
             bool learns_capacity = false);

  auto Run() -> TokenOutcome;

 private:
  // A caller's flow; its number is its key.
  struct Flow {
    const PatternKind* kind = nullptr;
    std::uint32_t requests_left = 0;
    TimePoint asked;      // Of the present request.
    WireToken token;      // Zero until the flow is open.
    EndpointId endpoint;  // The same.
    std::uint32_t request = 0;
    std::uint32_t seq = 1;
    std::uint32_t ack = 1;
    bool open = false;
    bool answered = true;  // The present request.
    // An endpoint did not answer a packet of the present request, or its flow
    // was reset.
    bool disturbed = false;
  };
  [[nodiscard]] auto now() const -> TimePoint { return events_.now(); }
  void At(TimePoint time, std::function<void()> run) {
    events_.At(time, std::move(run));
  }
  void After(Duration time, std::function<void()> run) {
    events_.After(time, std::move(run));
  }
  void ScheduleArrival(const PatternKind& kind);
  void ScheduleTicks();
  void ScheduleFault();
  void ScheduleRelease();
  void ScheduleStandingFlows(const PatternKind& kind);

  void StartFlow(const PatternKind& kind, std::uint32_t requests,
                 TimePoint asked, bool disturbed = false);
  void SendOpening(std::uint64_t id, std::uint32_t copy);
  void SendData(std::uint64_t id, std::uint32_t request, Duration resend);
  void SendAcknowledgement(std::uint64_t id, bool finishes);
  void OnOpened(std::uint64_t id, const ForwardWithToken& opening);
  void OnAnswer(const PatternWork& work, bool ends_flow);
  void OnReset(std::uint64_t id);
  void BeginRequest(std::uint64_t id);
  void Expire(std::uint64_t id, std::uint32_t request);
  void Deliver(std::uint64_t id, std::uint32_t request, EndpointId endpoint);
  void RunAt(EndpointId endpoint, const std::optional<PatternWork>& work);

  auto DecideFor(std::uint64_t id, const TokenPacket& packet)
      -> std::optional<ForwardWithToken>;
  auto PacketOf(std::uint64_t id, const Flow& flow) const -> TokenPacket;
  auto InstanceOf(std::uint64_t id) -> Router&;
  [[nodiscard]] auto IsReachable(std::uint64_t id, EndpointId to) -> bool;
  template <typename Visit>
  void ForEachInstance(Visit&& visit);
  void CountOpening(EndpointId id);
  void CountEndpoints();
  [[nodiscard]] auto IsCounted(TimePoint time) const -> bool;
  void CountRequest(const Flow& flow);
  void CountMiss(const Flow& flow, MissCause cause);
  void CountAnswered(const Flow& flow, const PatternWork& work);
  void CountReset(std::uint64_t id, const Flow& flow);
  void CountFailed(const Flow& flow);
  void TakeResets(const std::vector<ResetFlow>& resets);
  void ShareSigns();
  void ReportReplies();
  void ShareSpeeds();
  void Publish();

  const TokenPattern pattern_;
  Random random_;
  EventQueue events_;
  const TimePoint end_;
  PatternFleet fleet_;
  // By data centre.
  std::vector<std::vector<std::unique_ptr<Router>>> instances_;
  HealthAggregator signs_;
  SpeedEstimator speeds_;
  std::unordered_map<std::uint64_t, Flow> flows_;
  std::uint64_t next_flow_ = 0;
  std::unordered_map<EndpointId, std::size_t> openings_;
  TokenOutcome outcome_;
};

using OwnTokenWorld = TokenWorld<TokenRouter>;
using HashTokenWorld = TokenWorld<RivalRouter<HashPlacement>>;
using OracleTokenWorld = TokenWorld<RivalRouter<OraclePlacement>>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_TOKEN_WORLD_H_
