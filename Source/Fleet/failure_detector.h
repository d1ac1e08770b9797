#ifndef HEMLOCKWICK_FLEET_FAILURE_DETECTOR_H_
#define HEMLOCKWICK_FLEET_FAILURE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "Fleet/fleet_message.h"
#include "Fleet/node_state.h"

namespace hemlockwick {

// Interval between heartbeats to the next member in the ring.
inline constexpr Duration kHeartbeatPeriod = std::chrono::milliseconds(1000);

// The ring predecessor is verified when it has sent nothing for this long.
inline constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(1300);

// The predecessor is declared dead when it does not answer within this time
// after the verification began. Together with kHeartbeatTimeout this is longer
// than the gap that a pause of one second leaves between two heartbeats.
inline constexpr Duration kVerificationTime = std::chrono::milliseconds(1100);

// A probe that is not answered within this time starts a verification.
inline constexpr Duration kProbeTimeout = std::chrono::milliseconds(200);

// A member that is not the ring predecessor is declared dead when it has not
// answered within this time after the first missed probe was sent.
inline constexpr Duration kDeathTimeout = std::chrono::milliseconds(1600);

// Ring-based failure detector. Sends heartbeats to the successor in the ring
// and monitors the predecessor. A member that falls silent is verified by
// direct probes and by indirect probes through other peers before it is
// suspected and then declared dead. The cost does not depend on the number of
// members.
class FailureDetector {
 public:
  FailureDetector(NodeState& state, std::vector<SocketAddress> seeds,
                  TimePoint now);

  void OnTick(TimePoint now);
  [[nodiscard]] auto NextTick() const -> TimePoint;

  // Resumes the join probes once the instance list has been read.
  void OnInstanceList(TimePoint now);

  void OnProbe(InstanceId from, const Probe& probe, TimePoint now);
  void OnProbeAck(InstanceId from, const ProbeAck& ack, TimePoint now);
  void OnGossip(InstanceId from, const Gossip& gossip, TimePoint now);
  void OnProbeRequest(InstanceId from, const ProbeRequest& request,
                      TimePoint now);
  void OnSendFailed(InstanceId to, TimePoint now);

  // Drops all probes and verifications, because their deadlines passed while
  // the process was suspended, and probes several peers at once.
  void OnPause(TimePoint now);

 private:
  struct PendingProbe {
    InstanceId target;
    TimePoint sent;
    TimePoint expires;
    // Set when the probe was sent on behalf of another instance.
    InstanceId requester;
    std::uint64_t requester_sequence = 0;
  };
  struct Verification {
    TimePoint started;
    TimePoint deadline;
    TimePoint next_round;
    int rounds = 0;
  };

  auto SendProbe(InstanceId target, TimePoint now) -> std::uint64_t;
  void SendJoinProbes(std::size_t count, TimePoint now);
  void RunPeriod(TimePoint now);
  void SendHeartbeat(TimePoint now);
  void MonitorPredecessor(TimePoint now);
  void ProbeExtraPeer(TimePoint now);
  void ProbeSuspect(TimePoint now);
  void ExpireProbes(TimePoint now);
  void Verify(InstanceId target, TimePoint started, TimePoint deadline,
              TimePoint now);
  void VerifyDataCentre(DataCentreId id, TimePoint now);
  void VerifyLongSuspected(const std::vector<InstanceId>& candidates,
                           TimePoint now);
  void RunVerifications(TimePoint now);
  void RunVerificationRound(InstanceId target, Verification& verification,
                            TimePoint now);
  void FinishVerification(InstanceId target, TimePoint now);
  void SuspectAllPeers(TimePoint now);
  [[nodiscard]] auto IsIsolated(TimePoint now) const -> bool;
  [[nodiscard]] auto FirstUnsuspected(const std::vector<InstanceId>& ids) const
      -> InstanceId;

  NodeState& state_;
  std::vector<SocketAddress> seeds_;
  TimePoint started_;
  TimePoint next_period_;
  TimePoint next_join_probe_;
  std::uint64_t periods_ = 0;
  InstanceId heartbeat_target_;
  int self_updates_left_ = 0;
  // The ring predecessor whose heartbeats are expected, and since when.
  InstanceId monitored_;
  TimePoint monitored_since_;
  // Peers whose last gossip message had a different ring digest.
  std::set<InstanceId> mismatched_peers_;
  std::uint64_t next_sequence_ = 1;
  std::map<std::uint64_t, PendingProbe> pending_;
  std::map<InstanceId, Verification> verifications_;
  // Peers that are known to have this instance's current record.
  std::set<InstanceId> peers_with_own_record_;
  std::uint64_t sent_incarnation_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLEET_FAILURE_DETECTOR_H_
