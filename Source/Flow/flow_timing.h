#ifndef HEMLOCKWICK_FLOW_FLOW_TIMING_H_
#define HEMLOCKWICK_FLOW_FLOW_TIMING_H_

#include <chrono>

#include "Core/time.h"

namespace hemlockwick {

// Longest time from the publication of a version until every running and
// connected instance has it.
inline constexpr Duration kConfigPropagationTime = std::chrono::seconds(3);

// An instance forwards by its own table only while its control thread has run
// within kControlLease and a peer has answered within kViewLease.
inline constexpr Duration kControlLease = std::chrono::milliseconds(500);
inline constexpr Duration kViewLease = std::chrono::milliseconds(1500);

// New flows use an endpoint set from this long after its publication. By then
// every instance has the version or has lost its lease.
inline constexpr Duration kActivationDelay =
    kConfigPropagationTime + kViewLease + kMaxClockSkew;

// A draining endpoint gets no new flow from this long after the publication.
inline constexpr Duration kDrainDelay = kConfigPropagationTime - kMaxClockSkew;

// A cold endpoint, one that has just started, begins with kInitialColdShare of
// its share of new flows and reaches the full share after kSlowStart.
inline constexpr Duration kSlowStart = std::chrono::seconds(60);
inline constexpr double kInitialColdShare = 0.1;

// A data centre has to be unreachable for this long before new flows avoid its
// endpoints.
inline constexpr Duration kPartitionDelay = std::chrono::seconds(10);

// An unknown flow seen within kPartitionLearningTime after a data centre became
// unreachable cannot have opened on its side. Later ones wait for
// kPartitionHealTime, within which an instance notices that the partition has
// healed.
inline constexpr Duration kPartitionLearningTime = std::chrono::seconds(8);
inline constexpr Duration kPartitionHealTime = std::chrono::seconds(3);

// Former homes are asked for records for this long after a membership change.
inline constexpr Duration kFormerHomeRetention = std::chrono::minutes(10);

// In each such period in which a flow has packets, its third home gets at least
// one of them.
inline constexpr Duration kThirdHomeRefreshInterval = std::chrono::minutes(15);

// A record whose flow has closed is kept for this long.
inline constexpr Duration kClosedRecordRetention = std::chrono::minutes(2);

// A SYN of a recorded flow within this time after its opening is a
// retransmission.
inline constexpr Duration kSynRetransmitTime = std::chrono::seconds(60);

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_FLOW_TIMING_H_
