#ifndef HEMLOCKWICK_MEASURE_PROPAGATION_WORLD_H_
#define HEMLOCKWICK_MEASURE_PROPAGATION_WORLD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <utility>
#include <vector>

#include "Core/random.h"
#include "Core/time.h"
#include "Edge/directory_sync.h"
#include "Edge/relay_server.h"
#include "Edge/speed_exchange.h"

namespace hemlockwick {

struct PropagationSettings {
  std::size_t instances = 300;
  std::size_t data_centres = 5;
  std::size_t seeds = 3;  // Each in a data centre of its own, if there are.
  std::size_t large_in_ten = 1;  // The others are small.
  std::uint32_t large_capacity = 48;
  std::uint32_t small_capacity = 19;
  double loss = 0;  // Share of the calls that get no answer.
  // Every instance watches a seed, and no other one relays: the rival.
  bool is_flat = false;
  std::uint64_t seed = 1;
  // Endpoints of which every instance observes a reply each second; see
  // SetSlowRatio. 0: reply statistics are not shared.
  std::size_t observed_endpoints = 0;
};

// How one change spread.
struct PropagationTimes {
  std::vector<Duration> times;  // Until it was known, in order.
  std::size_t missing = 0;      // Running instances that do not know it.

  // `share` from 0 to 1 of the instances know it after this time.
  [[nodiscard]] auto Quantile(double share) const -> Duration;
};

// Instances that learn the directory from the platform and from each other, by
// the decisions of an edge process, in virtual time and without a network.
class PropagationWorld {
 public:
  explicit PropagationWorld(const PropagationSettings& settings);

  void RunFor(Duration time);

  // The platform publishes a change.
  void Change();
  // How the latest change has spread.
  [[nodiscard]] auto Spread() const -> PropagationTimes;

  // A process ends; calls to it fail at once, or get no answer when its machine
  // loses power.
  void Kill(std::size_t instance, bool with_power = false);
  void Start(std::size_t instance);
  // A process stands still; what it is sent waits.
  void Freeze(std::size_t instance, Duration time);
  // The process is told to stop: it sends its watchers elsewhere.
  void Leave(std::size_t instance);
  // The instance's clock differs from the others' by `offset`, from its next
  // start on.
  void SetClock(std::size_t instance, Duration offset);
  // The platform turns the instance away.
  void Refuse(std::size_t instance, bool is_refused);
  // The platform answers nobody.
  void SilencePlatform(bool is_silent) { is_platform_silent_ = is_silent; }
  // The platform forgets its history of changes.
  void ForgetHistory();

  // The platform comes back from a copy that lacks the latest `lost` changes:
  // they are no longer known, and their revisions are given out again.
  void Restore(std::uint64_t lost);
  // The data centre and all else have no path to each other.
  void CutOff(std::size_t data_centre, bool is_cut);
  // Nothing arrives at `to` from `from`.
  void CutOneWay(std::size_t from, std::size_t to);

  // An instance has seen an endpoint that does not answer.
  void ReportSilent(std::size_t instance, FlowToken token);
  // From now on replies of every third observed endpoint take this many times
  // the usual time.
  void SetSlowRatio(double ratio) { slow_ratio_ = ratio; }
  // The token of an observed endpoint. They are large numbers, which take the
  // most bytes.
  static auto ObservedToken(std::size_t endpoint) -> FlowToken {
    return FlowToken(~static_cast<std::uint32_t>(endpoint));
  }
  // The speeds that the instance applies; null when it has none.
  [[nodiscard]] auto Speeds(std::size_t instance) const -> const SharedSpeeds*;

  // Whether the instance counts the endpoint as a suspect.
  [[nodiscard]] auto Suspects(std::size_t instance, FlowToken token) const
      -> bool;

  [[nodiscard]] auto size() const -> std::size_t { return nodes_.size(); }
  [[nodiscard]] auto now() const -> TimePoint { return now_; }
  [[nodiscard]] auto IsSeed(std::size_t instance) const -> bool {
    return instance < settings_.seeds;
  }
  [[nodiscard]] auto DataCentreOf(std::size_t instance) const -> std::size_t {
    return instance % settings_.data_centres;
  }
  [[nodiscard]] auto Parent(std::size_t instance) const
      -> std::optional<std::size_t>;
  // Relays between the platform and the instance.
  [[nodiscard]] auto RelaysAbove(std::size_t instance) const -> std::size_t;
  [[nodiscard]] auto Watchers(std::size_t instance) const -> std::size_t;
  [[nodiscard]] auto HasDirectory(std::size_t instance) const -> bool {
    return nodes_[instance]->sync->position() != Position();
  }
  // Time since the platform was last known to be in touch.
  [[nodiscard]] auto Age(std::size_t instance) const -> Duration;

  // Since the last ResetCounts.
  [[nodiscard]] auto platform_calls() const -> std::size_t {
    return platform_calls_;
  }
  [[nodiscard]] auto whole_reads() const -> std::size_t { return whole_reads_; }
  // Of the instance that sends most.
  [[nodiscard]] auto BusiestBytes() const -> std::size_t;
  // Bytes between data centres.
  [[nodiscard]] auto far_bytes() const -> std::size_t { return far_bytes_; }
  [[nodiscard]] auto reports_taken(std::size_t instance) const -> std::size_t {
    return nodes_[instance]->reports_taken;
  }
  void ResetCounts();

 private:
  using Task = std::function<void()>;

  struct Event {
    TimePoint at;
    std::uint64_t order;
    Task task;
  };
  struct IsLater {
    auto operator()(const Event& left, const Event& right) const -> bool {
      return std::pair(left.at, left.order) > std::pair(right.at, right.order);
    }
  };

  // One instance. Its process is gone while `sync` is null.
  struct Node {
    std::unique_ptr<DirectorySync> sync;
    std::unique_ptr<RelayServer> relay;
    std::unique_ptr<SpeedExchange> speeds;  // Null unless shared.
    TimePoint next_observation;
    std::shared_ptr<const RouteSet> routes;  // In force here.
    std::uint64_t life = 0;                  // Counts its processes.
    std::uint64_t call = 0;                  // Counts its calls.
    bool has_power = true;
    bool is_refused = false;
    TimePoint frozen_until;
    Duration next_clock_offset{0};
    Duration clock_offset{0};
    std::size_t bytes_sent = 0;
    std::size_t reports_taken = 0;
  };
  struct Published {
    Version version;
    TimePoint at;
  };
  struct PlatformWatch {
    std::size_t instance;
    std::uint64_t call;
    Revision after;
  };

  void At(TimePoint time, Task task);
  // Runs the task when the process `life` of the instance runs.
  void AtProcess(std::size_t instance, std::uint64_t life, TimePoint time,
                 Task task);
  void MakeCall(std::size_t instance);
  void CallPlatform(std::size_t instance, std::uint64_t call);
  void AnswerFromPlatform(std::size_t instance, std::uint64_t call,
                          Revision after);
  void CallRelay(std::size_t instance, std::uint64_t call, std::size_t target);
  void SendToRelay(std::size_t from, std::size_t target,
                   const std::string& request, std::function<void()> deliver);
  void Answer(std::size_t instance, std::uint64_t call, TimePoint at,
              SyncAnswer answer);
  void Take(std::size_t instance, std::uint64_t call, const SyncAnswer& answer);
  void Tick(std::size_t instance, std::uint64_t life);
  void SendReports(std::size_t instance);
  void SendReplies(std::size_t instance);
  void Observe(Node& node, TimePoint now);
  void RecordKnown(std::size_t instance);
  [[nodiscard]] auto RoutesAt(Version version) const
      -> std::shared_ptr<const RouteSet>;
  [[nodiscard]] auto HasPath(std::size_t from, std::size_t to) const -> bool;
  [[nodiscard]] auto DelayBetween(std::size_t from, std::size_t to) -> Duration;
  [[nodiscard]] auto Find(const SocketAddress& relay) const
      -> std::optional<std::size_t>;
  // What the instance's clock says.
  [[nodiscard]] auto ClockOf(std::size_t instance) const -> TimePoint {
    return now_ + nodes_[instance]->clock_offset;
  }
  [[nodiscard]] auto IsRunning(std::size_t instance) const -> bool {
    return nodes_[instance]->sync != nullptr;
  }

  const PropagationSettings settings_;
  Random random_;
  TimePoint now_;
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, IsLater> events_;
  std::vector<std::unique_ptr<Node>> nodes_;
  Position position_{Era(1), Revision(1)};
  Version version_{1};  // Of the routes; writers repeat it after a restore.
  Revision history_from_{1};  // Changes after it are kept.
  std::vector<PlatformWatch> watches_;
  bool is_platform_silent_ = false;
  std::vector<bool> is_cut_;  // By data centre.
  std::set<std::pair<std::size_t, std::size_t>> one_way_cuts_;
  Published latest_;
  std::vector<std::optional<Duration>> known_after_;
  std::size_t platform_calls_ = 0;
  std::size_t whole_reads_ = 0;
  std::size_t far_bytes_ = 0;
  double slow_ratio_ = 2;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_PROPAGATION_WORLD_H_
