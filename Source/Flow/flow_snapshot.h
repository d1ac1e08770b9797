#ifndef HEMLOCKWICK_FLOW_FLOW_SNAPSHOT_H_
#define HEMLOCKWICK_FLOW_FLOW_SNAPSHOT_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "Core/ids.h"
#include "Core/net_address.h"
#include "Core/time.h"
#include "Flow/address_usage.h"
#include "Flow/home_table.h"
#include "Flow/service_table.h"

namespace hemlockwick {

using TablesByAddress =
    boost::unordered_flat_map<SocketAddress,
                              std::shared_ptr<const ServiceTable>,
                              std::hash<SocketAddress>>;

// State from which traffic threads decide packets. Immutable.
struct FlowSnapshot {
  InstanceId self;
  Version version;
  std::shared_ptr<const TablesByAddress> tables;
  std::shared_ptr<const AddressSet> quarantined;
  std::shared_ptr<const HomeTable> homes;
  // Home tables before recent membership changes, newest first.
  std::vector<std::shared_ptr<const HomeTable>> former_homes;
  // Members that process packets: the homes and those about to stop.
  std::vector<HomeMember> running;
  // Unreachable data centres, whose endpoints get no new flows now.
  std::vector<DataCentreId> unreachable;
  // Time since which data centres have been unreachable.
  std::optional<TimePoint> partitioned_since;
  // Whether there may be flows that opened on both sides of a partition, so
  // that no bucket is settled.
  bool after_partition = false;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_FLOW_SNAPSHOT_H_
