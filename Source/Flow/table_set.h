#ifndef HEMLOCKWICK_FLOW_TABLE_SET_H_
#define HEMLOCKWICK_FLOW_TABLE_SET_H_

#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

#include "Config/fleet_config.h"
#include "Core/ids.h"
#include "Core/time.h"
#include "Flow/address_usage.h"
#include "Flow/flow_snapshot.h"
#include "Flow/service_table.h"

namespace hemlockwick {

// The tables of all flow services. Configuration versions share the tables of
// services that did not change.
class TableSet {
 public:
  // Applies a configuration: builds the tables of the services that differ from
  // the present ones.
  void Apply(const FleetConfig& config, TimePoint now);

  // Rebuilds the tables whose ServiceTable::next_change has come. Returns false
  // when there are none.
  auto Advance(TimePoint now) -> bool;

  // The tables by service address. A change replaces the map, so that holders
  // of the pointer keep a consistent state.
  [[nodiscard]] auto by_address() const
      -> const std::shared_ptr<const TablesByAddress>& {
    return by_address_;
  }
  [[nodiscard]] auto quarantined() const
      -> const std::shared_ptr<const AddressSet>& {
    return quarantined_;
  }

  // The table of a service; null when there is none.
  [[nodiscard]] auto Find(ServiceId service) const -> const ServiceTable*;

  [[nodiscard]] auto unsettled_buckets() const -> std::size_t;
  [[nodiscard]] auto total_buckets() const -> std::size_t;

  // Bytes held by the tables, without the services themselves.
  [[nodiscard]] auto bytes() const -> std::size_t;

 private:
  using TablePtr = std::shared_ptr<const ServiceTable>;

  void Replace(TablePtr table);
  void DropMissing(const FleetConfig& config);
  void RebuildIndex();

  std::unordered_map<ServiceId, TablePtr> by_id_;
  std::shared_ptr<const TablesByAddress> by_address_ =
      std::make_shared<const TablesByAddress>();
  std::shared_ptr<const AddressSet> quarantined_ =
      std::make_shared<const AddressSet>();
  AddressUsage address_usage_;
  TimePoint next_change_ = TimePoint::max();
};

// Merges the published endpoint history of a service with the endpoint sets of
// its earlier table `before`, oldest first. `before` may be null.
[[nodiscard]] auto MergePastSets(const Service& service,
                                 const ServiceTable* before)
    -> std::vector<EndpointSet>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_TABLE_SET_H_
