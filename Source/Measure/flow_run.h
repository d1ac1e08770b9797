#ifndef HEMLOCKWICK_MEASURE_FLOW_RUN_H_
#define HEMLOCKWICK_MEASURE_FLOW_RUN_H_

#include <cstddef>
#include <cstdint>
#include <queue>
#include <unordered_map>
#include <vector>

#include "Core/random.h"
#include "Measure/flow_fleet.h"
#include "Measure/flow_schedule.h"
#include "Measure/flow_world.h"

namespace hemlockwick {

// What one run showed.
struct FlowRunResult {
  std::size_t opened = 0;
  // Flows that reached another endpoint than the one they opened on, or that
  // got no packet through for a minute while their endpoint was in reach.
  std::size_t broken = 0;
  std::size_t stalled = 0;  // Those of `broken` that got nothing through.
  // Broken flows both of whose homes died at once without a plan.
  std::size_t excused = 0;
  std::size_t foreign = 0;        // Packets at another service's endpoint.
  std::size_t late_openings = 0;  // On an endpoint 3 s after it left.
  std::size_t packets = 0;
  std::size_t delayed_syns = 0;  // SYNs that had to be sent again.
  std::size_t extra_hops = 0;
  double imbalance = 0;  // Flows per endpoint before the first event, max/mean.
  // Of the instance that sent most, in the worst kControlWindow.
  double control_bytes_per_second = 0;
  double openings_per_second = 0;
  FlowStats stats;
};

// Runs a schedule with flows of callers and checks every forwarded packet.
template <FlowNode Node>
class FlowRun {
 public:
  FlowRun(const FlowSchedule& schedule, std::uint64_t seed);

  auto Run() -> FlowRunResult;

 private:
  enum class Life { kShort, kBusy, kIdle };
  struct Flow {
    FlowKey key;
    EndpointId owner;  // Zero until the flow has opened.
    std::uint16_t service = 0;
    std::uint8_t data_centre = 0;  // Next to which the caller is.
    Life life = Life::kIdle;
    std::uint32_t retries = 0;
    TimePoint ends;
    TimePoint lost_since;
  };
  struct Due {
    TimePoint at;
    std::uint32_t flow = 0;

    friend auto operator>(const Due& left, const Due& right) -> bool {
      return left.at > right.at;
    }
  };

  void CreateFlows();
  void Reopen(Flow& flow, TimePoint now);
  void SendDue(Due due);
  auto Packet(const Flow& flow, TimePoint now) const -> FlowPacket;
  void OnForwarded(Flow& flow, const PacketOutcome& outcome, TimePoint now);
  void OnLost(Flow& flow, TimePoint now);
  void CheckLate(const FlowPacket& packet, const PacketOutcome& outcome,
                 TimePoint now);
  void CheckOpening(const PacketOutcome& outcome, TimePoint now);
  void Break(Flow& flow, TimePoint now);
  auto NextPacket(const Flow& flow, TimePoint now) -> TimePoint;
  auto Imbalance() const -> double;
  void MeasureControl(TimePoint now);

  FlowSchedule schedule_;
  Random random_;
  FlowWorld world_;
  FlowFleet<Node> fleet_;
  std::uint64_t next_key_;
  std::vector<Flow> flows_;
  std::unordered_map<FlowKey, std::uint32_t> by_key_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  FlowRunResult result_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_FLOW_RUN_H_
