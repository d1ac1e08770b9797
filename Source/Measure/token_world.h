#ifndef HEMLOCKWICK_MEASURE_TOKEN_WORLD_H_
#define HEMLOCKWICK_MEASURE_TOKEN_WORLD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

#include "Core/random.h"
#include "Edge/health_aggregator.h"
#include "Flow/endpoint_directory.h"
#include "Flow/flow_affinity.h"
#include "Flow/token_router.h"
#include "Measure/pattern_endpoint.h"
#include "Measure/token_pattern.h"
#include "Measure/token_rivals.h"

namespace hemlockwick {

// What callers saw of a pattern.
struct TokenOutcome {
  std::size_t requests = 0;
  std::size_t late = 0;    // Answered after the aim.
  std::size_t failed = 0;  // Not answered by the deadline.
  // Openings sent to a dark or grey endpoint once there was time to find it
  // out, and all openings since then.
  std::size_t flows_to_faulty = 0;
  std::size_t flows_since_found = 0;

  // Of all requests: those answered late or not at all, and the latter.
  [[nodiscard]] auto missed_share() const -> double;
  [[nodiscard]] auto failed_share() const -> double;
  [[nodiscard]] auto faulty_share() const -> double;
};

// The largest missed share that chance alone explains when `rival` has missed
// what it has: three standard deviations of the difference above it.
[[nodiscard]] auto NoWorseBound(const TokenOutcome& own,
                                const TokenOutcome& rival) -> double;

// Plays a pattern in virtual time: callers, instances that place flows with
// `Router`, endpoints. Callers send an opening again after 200 and 600 ms, data
// after 200 ms and then twice as long each time, and try again on a new flow
// when one is reset; requests that are not idempotent only before it was open.
template <typename Router>
class TokenWorld {
 public:
  TokenWorld(const TokenPattern& pattern, std::uint64_t seed);

  auto Run() -> TokenOutcome;

 private:
  // A caller's flow; its number is its key.
  struct Flow {
    const PatternKind* kind = nullptr;
    std::uint32_t requests_left = 0;
    TimePoint asked;  // Of the present request.
    WireToken token;  // Zero until the flow is open.
    std::uint32_t request = 0;
    std::uint32_t seq = 1;
    std::uint32_t ack = 1;
    bool open = false;
    bool answered = true;  // The present request.
  };
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;
    friend auto operator>(const Event& left, const Event& right) -> bool {
      return left.at != right.at ? left.at > right.at
                                 : left.order > right.order;
    }
  };

  void At(TimePoint time, std::function<void()> run);
  void After(Duration time, std::function<void()> run);
  void ScheduleArrival(const PatternKind& kind);
  void ScheduleTicks();
  void ScheduleFault();
  void BeginFault();
  void EndListing();

  void StartFlow(const PatternKind& kind, std::uint32_t requests,
                 TimePoint asked);
  void SendOpening(std::uint64_t id, std::uint32_t copy);
  void SendData(std::uint64_t id, std::uint32_t request, Duration resend);
  void SendAcknowledgement(std::uint64_t id, bool finishes);
  void OnOpened(std::uint64_t id, WireToken token);
  void OnAnswer(const PatternWork& work);
  void OnReset(std::uint64_t id);
  void BeginRequest(std::uint64_t id);
  void Expire(std::uint64_t id, std::uint32_t request);
  void RunAt(std::size_t endpoint, const std::optional<PatternWork>& work);

  auto DecideFor(std::uint64_t id, const TokenPacket& packet)
      -> std::optional<ForwardWithToken>;
  auto PacketOf(std::uint64_t id, const Flow& flow) const -> TokenPacket;
  auto InstanceOf(std::uint64_t id) -> Router&;
  auto DrawWork(const PatternKind& kind) -> Duration;
  void CountOpening(const PatternEndpoint& endpoint);
  void CountFailed();
  void TakeResets(const std::vector<ResetFlow>& resets);
  void ShareSigns();
  void Publish();

  const TokenPattern pattern_;
  Random random_;
  TimePoint now_;
  TimePoint end_;
  std::vector<PatternEndpoint> endpoints_;
  EndpointDirectory directory_;
  std::vector<std::unique_ptr<Router>> instances_;
  HealthAggregator signs_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t next_order_ = 0;
  std::unordered_map<std::uint64_t, Flow> flows_;
  std::uint64_t next_flow_ = 0;
  TokenOutcome outcome_;
};

using OwnTokenWorld = TokenWorld<TokenRouter>;
using HashTokenWorld = TokenWorld<RivalRouter<HashPlacement>>;
using OracleTokenWorld = TokenWorld<RivalRouter<OraclePlacement>>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_TOKEN_WORLD_H_
