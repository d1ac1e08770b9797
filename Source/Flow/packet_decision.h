#ifndef HEMLOCKWICK_FLOW_PACKET_DECISION_H_
#define HEMLOCKWICK_FLOW_PACKET_DECISION_H_

#include <cstdint>
#include <optional>

#include "Core/time.h"
#include "Flow/flow_counters.h"
#include "Flow/flow_snapshot.h"
#include "Flow/flow_types.h"
#include "Flow/record_table.h"

namespace hemlockwick {

// Which parts of its state an instance may rely on.
struct SnapshotTrust {
  // Flows of settled buckets may be forwarded by the table alone.
  bool may_use_table = false;
  // The instance was not suspended or cut off recently.
  bool view_is_current = false;
};

// Forwards to an endpoint of the table, unless there is none or its address is
// quarantined.
[[nodiscard]] inline auto ForwardToOwner(const FlowSnapshot& snapshot,
                                         const ServiceTable& table,
                                         OwnerIndex owner) -> FlowAction {
  if (owner == kNoOwner) {
    return DropPacket{DropReason::kNoEndpoint};
  }
  const auto& endpoint = table.endpoint(owner);
  const auto& quarantined = *snapshot.quarantined;
  if (!quarantined.empty() && quarantined.contains(endpoint.address)) {
    return DropPacket{DropReason::kQuarantined};
  }
  return ForwardToEndpoint{endpoint.id, endpoint.address};
}

// Decides one packet that the table alone cannot decide. The packet is relayed
// through the second and the first home of its flow, which keep the records; a
// third home in another data centre keeps a copy.
class PacketDecision {
 public:
  PacketDecision(const FlowSnapshot& snapshot, const ServiceTable& table,
                 const FlowPacket& packet, RecordTable& records,
                 FlowCounters& counters, SnapshotTrust trust, TimePoint now);

  auto Decide() -> FlowAction;

  // A record that differs from the owner that the other home reported, to be
  // sent to that home.
  [[nodiscard]] auto conflicting() const -> const std::optional<FlowRecord>& {
    return conflicting_;
  }

 private:
  auto FromFabric() -> FlowAction;
  auto AtSecondHome() -> FlowAction;
  auto AtFirstHome() -> FlowAction;
  auto OpenAtSecondHome(const std::optional<FlowRecord>& record) -> FlowAction;
  auto OpenAtFirstHome(const std::optional<FlowRecord>& record) -> FlowAction;
  auto KnownAtFirstHome(const FlowRecord& record) -> FlowAction;
  auto UnknownAtFirstHome() -> FlowAction;
  auto AskFormerHome() -> FlowAction;
  auto DecideForPeer() -> FlowAction;
  auto ForwardUnknown() -> FlowAction;
  auto ForwardUnknownInPartition(OwnerIndex owner) -> FlowAction;

  auto TouchRecord() -> std::optional<FlowRecord>;
  auto MakeRecord(EndpointId owner) const -> FlowRecord;

  auto ChooseOwner() const -> OwnerIndex;
  auto IsUnreachable(OwnerIndex owner) const -> bool;
  auto IsRetransmission(const FlowRecord& record) const -> bool;
  auto NeedsRecord(EndpointId owner) const -> bool;
  auto IsFoundWithoutRecord(EndpointId owner) const -> bool;
  auto StoreRecord(EndpointId owner) -> bool;
  auto StableHome() const -> const HomeMember*;
  auto FormerHome() const -> const HomeMember*;
  auto IsRunning(const HomeMember& member) const -> bool;

  auto Forward(OwnerIndex owner) const -> FlowAction;
  auto ForwardTo(EndpointId owner) -> FlowAction;
  auto ForwardViaThirdHome(EndpointId owner) -> FlowAction;
  auto ForwardAndRefresh(const FlowRecord& record) -> FlowAction;
  auto ForwardViaSecondHome(EndpointId owner) -> FlowAction;
  auto Relay(const HomeMember& to, RelayStage stage, EndpointId known_owner)
      -> FlowAction;
  auto Refuse(DropReason reason) -> FlowAction;

  auto IsSelf(const HomeMember* member) const -> bool {
    return member != nullptr && member->id == snapshot_.self;
  }

  const FlowSnapshot& snapshot_;
  const ServiceTable& table_;
  const FlowPacket& packet_;
  RecordTable& records_;
  FlowCounters& counters_;
  const SnapshotTrust trust_;
  const TimePoint now_;
  const std::uint32_t bucket_;
  const Homes homes_;
  std::optional<FlowRecord> conflicting_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_PACKET_DECISION_H_
