#ifndef HEMLOCKWICK_MEASURE_REQUEST_REPLAY_H_
#define HEMLOCKWICK_MEASURE_REQUEST_REPLAY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "Core/random.h"
#include "Measure/endpoint_fake.h"
#include "Measure/replay_audit.h"
#include "Measure/replay_outcome.h"
#include "Measure/request_trace.h"
#include "Request/request_core.h"

namespace hemlockwick {

// Random faults of a replay, each as a probability per event.
struct ReplayFaultRates {
  double connection_failed = 0;       // Per attempt.
  double answer_lost = 0;             // Per answer: cut or lost on its way.
  double result_repeated = 0;         // Per result.
  double result_delayed = 0;          // Per result, by up to a second.
  double caller_gone = 0;             // Per request.
  Duration mean_between_crashes{0};   // Of any endpoint; 0 means never.
  Duration mean_between_pauses{0};    // Of any instance.
  Duration mean_between_deaths{0};    // Of any instance, replaced at once.
  Duration mean_between_versions{0};  // One endpoint begins or ends to drain.
};

struct ReplaySettings {
  std::size_t instances = 7;
  std::size_t data_centres = 3;
  // Attempts that an endpoint holds beyond its slots before it sheds.
  std::size_t endpoint_queue = 0;
  std::uint32_t max_requests_per_second = 0;
  std::uint64_t seed = 1;
  ReplayFaultRates rates{};
};

// Replays a trace in virtual time through the decision code of several
// instances with `Policy`, against small endpoint fakes.
template <DispatchPolicy Policy>
class RequestReplay {
 public:
  RequestReplay(const RequestTrace& trace, const ReplaySettings& settings);

  auto Run() -> ReplayOutcome;

 private:
  using Core = RequestCore<Policy, GrantAllKeys>;

  enum class Kind : std::uint8_t {
    kArrival,
    kSend,
    kOffer,
    kFinish,
    kResult,
    kCancel,
    kGone,
    kTick,
    kMessage,
    kConfig,
    kReport,
    kFaultBegins,
    kFaultEnds,
    kCrash,
    kRestart,
    kPause,
    kDeath,
    kVersion,
  };

  struct Event {
    TimePoint at;
    std::uint64_t sequence = 0;
    Kind kind = Kind::kTick;
    std::size_t instance = 0;
    std::uint64_t epoch = 0;
    std::size_t endpoint = 0;  // Also a position in a list, by the kind.
    RequestId request{};
    std::uint32_t attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::kLost;
    bool has_load = false;
    EndpointLoad load{};

    friend auto operator>(const Event& left, const Event& right) -> bool {
      return left.at != right.at ? left.at > right.at
                                 : left.sequence > right.sequence;
    }
  };

  struct Instance {
    std::unique_ptr<Core> core;
    std::uint64_t epoch = 0;
    TimePoint paused_until;
    TimePoint tick_at;
    std::size_t version = 0;
    std::unordered_map<RequestId, DispatchRequest> pending;
    std::unordered_set<RequestId> open;
  };

  // Set-up.
  void StartInstance(std::size_t number);
  [[nodiscard]] auto MakeConfig() const -> std::shared_ptr<const FleetConfig>;
  void ScheduleFaults();
  void ScheduleRandom(Kind kind, Duration mean);

  // Events.
  void Push(Event event);
  void Handle(const Event& event);
  void HandleAtInstance(const Event& event);
  void OnArrival(const Event& event);
  void OnSend(const Event& event);
  void OnOffer(const Event& event);
  void OnFinish(const Event& event);
  void OnCancel(const Event& event);
  void OnReport(const Event& event);
  void OnTraceFault(const EndpointFault& fault, bool begins);
  void CrashEndpoint(std::size_t index, bool begins);
  void OnCrash(const Event& event);
  void OnPause();
  void OnDeath();
  void OnVersion();
  void PublishConfig();
  void Started(const EndpointWork& work, std::size_t endpoint);
  void SendResult(const EndpointWork& work, std::size_t endpoint,
                  AttemptOutcome outcome, bool has_load);
  void Apply(std::size_t number, const RequestActions& actions);
  void OnRefusal(std::size_t number, const RefuseRequest& refusal);
  void Retick(std::size_t number);
  void CountStats(const Instance& instance);
  [[nodiscard]] auto IndexOf(EndpointId id) const -> std::size_t;

  const RequestTrace& trace_;
  ReplaySettings settings_;
  Random random_;
  ReplayAudit audit_;
  ReplayOutcome outcome_;
  TimePoint now_ = kReplayStart;
  TimePoint end_;
  std::uint64_t sequence_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<EndpointFake> endpoints_;
  std::vector<TimePoint> draining_since_;
  std::vector<Instance> instances_;
  std::vector<RequestMessage> messages_;
  std::vector<InstanceId> senders_;
  std::vector<std::shared_ptr<const FleetConfig>> configs_;
  std::vector<EndpointLoad> lagging_loads_;
  std::vector<bool> is_lagging_;
};

// Replays a trace with the policy, fitting the endpoints to it: they queue
// work for policies that do not wait at the instance.
template <DispatchPolicy Policy>
[[nodiscard]] auto ReplayTrace(const RequestTrace& trace,
                               ReplaySettings settings) -> ReplayOutcome {
  constexpr std::size_t kEndpointQueue = 64;
  settings.endpoint_queue = Policy::kWaitsAtInstance ? 0 : kEndpointQueue;
  return RequestReplay<Policy>(trace, settings).Run();
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_REQUEST_REPLAY_H_
