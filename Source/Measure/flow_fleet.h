#ifndef HEMLOCKWICK_MEASURE_FLOW_FLEET_H_
#define HEMLOCKWICK_MEASURE_FLOW_FLEET_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "Core/random.h"
#include "Flow/home_table.h"
#include "Measure/flow_node.h"
#include "Measure/flow_schedule.h"
#include "Measure/flow_world.h"

namespace hemlockwick {

// Where a packet ended. Without a forward it was lost on the way.
struct PacketOutcome {
  std::optional<ForwardToEndpoint> forward;
  bool reached = false;  // The endpoint's data centre was within reach.
  // No instance on the way was suspended or cut off a moment ago.
  bool current = false;
  std::size_t hops = 0;
};

// Instances in one process under a virtual clock. Views of members, versions
// and messages reach them late and unevenly; packets are passed by calls.
template <FlowNode Node>
class FlowFleet {
 public:
  using LatePacket =
      std::function<void(const FlowPacket&, const PacketOutcome&, TimePoint)>;

  // `late` is told of packets that a suspended instance sent after its wake-up.
  FlowFleet(FlowWorld& world, Random& random, LatePacket late, TimePoint now);

  // Sends a packet of a caller near `data_centre` to any instance.
  auto Send(const FlowPacket& packet, std::size_t data_centre, TimePoint now)
      -> PacketOutcome;

  void Apply(const FlowEvent& event, TimePoint now);
  void Tick(TimePoint now);

  // Whether both homes of the flow died without a plan.
  [[nodiscard]] auto LostBothHomes(FlowKey flow) const -> bool;
  [[nodiscard]] auto IsPartitioned(TimePoint now) const -> bool;
  [[nodiscard]] auto IsRolling() const -> bool { return !rollings_.empty(); }
  [[nodiscard]] auto stats() const -> FlowStats;

  // Control bytes of the instance that sent most since the last call.
  auto TakeMostControlBytes() -> std::size_t;

 private:
  struct PendingConfig {
    TimePoint due;
    std::shared_ptr<const FleetConfig> config;
  };
  struct Instance {
    Member member;
    std::size_t data_centre = 0;
    std::unique_ptr<Node> node;
    bool up = true;
    bool leaving = false;
    bool unplanned = false;
    TimePoint down_since;
    TimePoint paused_since;
    TimePoint paused_until;
    TimePoint next_view;
    MemberView view;
    std::shared_ptr<const FleetConfig> config;
    std::vector<PendingConfig> pending;
    std::vector<FlowPacket> held;
    std::size_t counted_bytes = 0;
  };
  struct Message {
    std::size_t from = 0;
    SendFlowMessage sent;
  };
  struct Rolling {
    std::size_t next = 0;
    std::size_t left = 0;
    TimePoint ready;
  };

  void Start(Instance& instance, TimePoint now);
  void AddInstance(std::size_t data_centre, TimePoint now);
  void Stop(std::size_t index, TimePoint now);
  void Kill(std::size_t index, TimePoint now);
  void Publish(TimePoint now);
  void AdvanceRolling(TimePoint now);
  void TickInstance(std::size_t index, TimePoint now);
  void TakeConfigs(Instance& instance, TimePoint now);
  void TakeView(std::size_t index, TimePoint now);
  void DeliverMessages(TimePoint now);
  void Queue(std::size_t from, FlowActions actions);

  auto Route(std::size_t index, const FlowPacket& packet, TimePoint now)
      -> PacketOutcome;
  auto StateSeen(std::size_t observer, std::size_t index, TimePoint now) const
      -> MemberState;
  auto IsCurrent(const Instance& instance, TimePoint now) const -> bool;
  auto IsPaused(const Instance& instance, TimePoint now) const -> bool;
  auto SideOf(std::size_t data_centre, TimePoint now) const -> std::size_t;
  auto IsCutLongEnough(std::size_t observer, std::size_t data_centre,
                       TimePoint now) const -> bool;
  auto Connected(std::size_t left, std::size_t right, TimePoint now) const
      -> bool;
  auto IndexOf(InstanceId id) const -> std::optional<std::size_t>;
  auto Running(std::size_t wanted) const -> std::size_t;
  auto RandomDelay(Duration longest) -> Duration;

  FlowWorld& world_;
  Random& random_;
  LatePacket late_;
  std::vector<Instance> instances_;
  std::vector<Message> messages_;
  std::vector<Rolling> rollings_;
  std::vector<TimePoint> cut_since_;
  std::vector<TimePoint> cut_until_;
  std::vector<InstanceId> killed_;
  std::unique_ptr<HomeTable> homes_before_deaths_;
  FlowStats stopped_stats_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_FLOW_FLEET_H_
