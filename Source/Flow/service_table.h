#ifndef HEMLOCKWICK_FLOW_SERVICE_TABLE_H_
#define HEMLOCKWICK_FLOW_SERVICE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Config/fleet_config.h"
#include "Core/ids.h"
#include "Core/net_address.h"
#include "Core/time.h"
#include "Flow/bucket_table.h"

namespace hemlockwick {

// An endpoint of the present or an earlier set of a service.
struct TableEndpoint {
  EndpointId id;
  SocketAddress address;
  DataCentreId data_centre;
  std::uint32_t weight = 0;
  bool cold = false;
  TimePoint cold_since;
  // Accepts no new flows from this time on.
  TimePoint accepts_new_flows_until = TimePoint::max();
};

// Owners of a service's buckets, now and in the earlier endpoint sets whose
// flows may still be open. Immutable.
class ServiceTable {
 public:
  // `published_at` is when the present endpoint set was published. `past` holds
  // the earlier sets, oldest first; sets whose flows have all ended are
  // skipped.
  ServiceTable(std::shared_ptr<const Service> service,
               std::vector<EndpointSet> past, TimePoint published_at,
               TimePoint now);

  [[nodiscard]] auto service() const -> const Service& { return *service_; }
  [[nodiscard]] auto shared_service() const
      -> const std::shared_ptr<const Service>& {
    return service_;
  }
  [[nodiscard]] auto published_at() const -> TimePoint { return published_at_; }
  [[nodiscard]] auto past() const -> const std::vector<EndpointSet>& {
    return past_;
  }

  [[nodiscard]] auto BucketOf(FlowKey flow) const -> std::uint32_t {
    return static_cast<std::uint32_t>(flow.value() % owners_.size());
  }

  // Whether every flow of the bucket that may be open belongs to its present
  // owner.
  [[nodiscard]] auto IsSettled(std::uint32_t bucket) const -> bool {
    return unsettled_.empty() || !unsettled_[bucket];
  }

  [[nodiscard]] auto OwnerOf(std::uint32_t bucket) const -> OwnerIndex {
    return owners_[bucket];
  }

  // Owner of the flows of the bucket that have no record.
  [[nodiscard]] auto EarliestOwnerOf(std::uint32_t bucket) const -> OwnerIndex {
    return earliest_.empty() ? owners_[bucket] : earliest_[bucket];
  }

  // Owner of a flow that opens at `now`; kNoOwner while the earlier owner has
  // left and the next one may not be used yet.
  [[nodiscard]] auto OwnerOfNewFlow(std::uint32_t bucket, FlowKey flow,
                                    TimePoint now) const -> OwnerIndex;

  // Owner of a new flow when the endpoints in `unreachable` data centres cannot
  // be used.
  [[nodiscard]] auto ReachableOwner(
      std::uint32_t bucket, const std::vector<DataCentreId>& unreachable,
      TimePoint now) const -> OwnerIndex;

  // Whether a new flow may be opened on the endpoint.
  [[nodiscard]] auto AcceptsNewFlows(OwnerIndex owner, TimePoint now) const
      -> bool;

  // Index of an endpoint of this service; kNoOwner when it is not known.
  [[nodiscard]] auto Find(EndpointId endpoint) const -> OwnerIndex;

  [[nodiscard]] auto endpoint(OwnerIndex owner) const -> const TableEndpoint& {
    return endpoints_[owner];
  }
  [[nodiscard]] auto endpoints() const -> const std::vector<TableEndpoint>& {
    return endpoints_;
  }

  [[nodiscard]] auto bucket_count() const -> std::size_t {
    return owners_.size();
  }
  [[nodiscard]] auto unsettled_count() const -> std::size_t {
    return unsettled_count_;
  }

  // Bytes held by the table, without the service itself.
  [[nodiscard]] auto bytes() const -> std::size_t;

  // Time at which the table has to be rebuilt, because a set ends or new flows
  // begin to use the present one.
  [[nodiscard]] auto next_change() const -> TimePoint { return next_change_; }

 private:
  // Owners of an earlier set that new flows may still use.
  struct Activation {
    TimePoint from;
    std::vector<OwnerIndex> owners;
  };

  void DropEndedSets(TimePoint now);
  void CollectEndpoints();
  void AddPastEndpoints();
  auto Assign(const std::vector<BucketShare>& shares) const
      -> std::vector<OwnerIndex>;
  void MarkUnsettled(const std::vector<OwnerIndex>& owners);
  void ScheduleActivations(TimePoint now);
  auto ActivatedOwner(std::uint32_t bucket, TimePoint now) const -> OwnerIndex;
  auto IsWarmEnough(OwnerIndex owner, FlowKey flow, TimePoint now) const
      -> bool;

  std::shared_ptr<const Service> service_;
  std::vector<EndpointSet> past_;
  TimePoint published_at_;
  std::vector<TableEndpoint> endpoints_;  // Sorted by id.
  std::vector<OwnerIndex> owners_;
  std::vector<OwnerIndex> earliest_;  // Empty when all buckets are settled.
  std::vector<bool> unsettled_;       // Empty when all buckets are settled.
  std::size_t unsettled_count_ = 0;
  std::vector<Activation> activations_;  // By time; empty when all have passed.
  TimePoint next_change_ = TimePoint::max();
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_SERVICE_TABLE_H_
