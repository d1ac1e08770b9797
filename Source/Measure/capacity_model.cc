#include "Measure/capacity_model.h"

#include <utility>

namespace hemlockwick {

namespace {

// Instances that keep a record of one flow: its first and second home and the
// third copy in the third data centre.
constexpr double kRecordCopies = 3;

// Seconds between two sweeps over the flow records.
constexpr double kSweepSeconds = 10;

// Adds lines computed from slopes and remembers the first missing slope.
class LineBuilder {
 public:
  explicit LineBuilder(const SlopeTable& slopes) : slopes_(slopes) {}

  // Adds `times` the cost of `slope` at `size`.
  auto Add(std::string role, Resource resource, const std::string& slope,
           double size, double times, std::string mechanism) -> Result<void> {
    BOOST_LEAF_AUTO(cost, slopes_.CostAt(slope, size));
    lines_.push_back(CapacityLine{std::move(role), resource, cost * times,
                                  slope, std::move(mechanism)});
    return {};
  }

  auto Take() -> std::vector<CapacityLine> { return std::move(lines_); }

 private:
  const SlopeTable& slopes_;
  std::vector<CapacityLine> lines_;
};

auto RecordsPerInstance(const FleetTarget& target) -> double {
  return target.flows_per_instance() * kRecordCopies;
}

auto AddMemory(LineBuilder& lines, const FleetTarget& target) -> Result<void> {
  BOOST_LEAF_CHECK(lines.Add(
      "control: configuration", Resource::kMemory, "config.memory",
      target.endpoints, 1, "versions share the services that did not change"));
  BOOST_LEAF_CHECK(lines.Add("entry traffic: bucket tables", Resource::kMemory,
                             "flow.table_bytes", target.services, 1,
                             "tables are shared between snapshots"));
  BOOST_LEAF_CHECK(lines.Add("home: flow records, every bucket unsettled",
                             Resource::kMemory, "flow.record_bytes",
                             RecordsPerInstance(target), 1,
                             "only flows of unsettled buckets are recorded"));
  return {};
}

auto AddCore(LineBuilder& lines, const FleetTarget& target) -> Result<void> {
  const auto changes = target.changes_per_second();
  BOOST_LEAF_CHECK(lines.Add(
      "probes: heartbeats and gossip", Resource::kCore, "fleet.membership_time",
      target.instances_per_data_centre(), 1, "fixed fan-out"));
  BOOST_LEAF_CHECK(lines.Add("control: take a change", Resource::kCore,
                             "fleet.change_time", target.services, changes,
                             "one shard is decoded, the others are shared"));
  BOOST_LEAF_CHECK(lines.Add(
      "entry traffic: tables of a change", Resource::kCore, "flow.one_change",
      target.services, changes, "only the changed service's table is built"));
  BOOST_LEAF_CHECK(lines.Add("home: expiry of records", Resource::kCore,
                             "flow.record_sweep", RecordsPerInstance(target),
                             1 / kSweepSeconds, "one pass every ten seconds"));
  return {};
}

auto AddBytes(LineBuilder& lines, const FleetTarget& target) -> Result<void> {
  const auto stops_per_second = target.replacements_per_day /
                                FleetTarget::kSecondsPerDay / target.instances;
  BOOST_LEAF_CHECK(lines.Add("probes: heartbeats and gossip",
                             Resource::kBytesSent, "fleet.membership_bytes",
                             target.instances_per_data_centre(), 1,
                             "fixed fan-out under a byte budget"));
  BOOST_LEAF_CHECK(lines.Add("reader and control: spread a change",
                             Resource::kBytesSent, "fleet.change_bytes",
                             target.services, target.changes_per_second(),
                             "differences against the version a peer has"));
  BOOST_LEAF_CHECK(lines.Add(
      "home: hand-over, averaged over the day", Resource::kBytesSent,
      "flow.hand_over_bytes", RecordsPerInstance(target), stops_per_second,
      "records go to the next home before a planned stop"));
  return {};
}

auto AddReads(LineBuilder& lines, const FleetTarget& target) -> Result<void> {
  return lines.Add("reader: watches of the whole fleet",
                   Resource::kPlatformReads, "fleet.platform_reads",
                   target.data_centres, 1, "a few readers per data centre");
}

}  // namespace

auto BuildCapacity(const SlopeTable& slopes, const FleetTarget& target)
    -> Result<std::vector<CapacityLine>> {
  auto lines = LineBuilder(slopes);
  BOOST_LEAF_CHECK(AddMemory(lines, target));
  BOOST_LEAF_CHECK(AddCore(lines, target));
  BOOST_LEAF_CHECK(AddBytes(lines, target));
  BOOST_LEAF_CHECK(AddReads(lines, target));
  return lines.Take();
}

auto TotalCost(const std::vector<CapacityLine>& lines, Resource resource)
    -> double {
  auto total = 0.0;
  for (const auto& line : lines) {
    if (line.resource == resource) {
      total += line.cost;
    }
  }
  return total;
}

}  // namespace hemlockwick
