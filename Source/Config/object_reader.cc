#include "Config/object_reader.h"

#include <chrono>
#include <iterator>
#include <utility>

#include "Config/object_fields.h"

namespace hemlockwick {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

// Accepted ranges of the fields.
constexpr Range<Duration> kDeadlineRange = {milliseconds(1), hours(24)};
constexpr Range<Duration> kKeyMemoryRange = {std::chrono::seconds(1),
                                             hours(24)};
constexpr Range<Duration> kLifetimeRange = {std::chrono::seconds(1),
                                            hours(24 * 7)};
constexpr Range<std::uint64_t> kBodyRange = {1, 1ULL << 30};
constexpr Range<std::uint32_t> kRateRange = {1, 100'000'000};
constexpr Range<std::uint32_t> kQueueRange = {1, 1'000'000};
constexpr Range<double> kRetryRange = {0, 1};
constexpr Range<std::uint32_t> kBucketRange = {64, 65'536};
constexpr Range<std::uint32_t> kWeightRange = {0, 10'000};
constexpr Range<std::uint32_t> kSlotRange = {1, 10'000};
constexpr Range<std::uint32_t> kConnectionRange = {1, 1'000'000};

enum class ObjectKind {
  kDataCentre,
  kContract,
  kLimits,
  kService,
  kEndpointGroup,
  kPlacement,
};

// The values of `kind`, in the order of ObjectKind.
auto KindNames() -> std::vector<std::string> {
  return {"data_centre", "contract",       "limits",
          "service",     "endpoint_group", "placement"};
}

auto ReadDataCentre(ObjectFields& fields, NamedObject named)
    -> DataCentreObject {
  auto object = DataCentreObject();
  static_cast<NamedObject&>(object) = std::move(named);
  object.region = fields.ReadName("region");
  object.evacuated = fields.ReadBoolean("evacuated").value_or(false);
  return object;
}

auto ReadContract(ObjectFields& fields, NamedObject named) -> ContractObject {
  auto object = ContractObject();
  static_cast<NamedObject&>(object) = std::move(named);
  object.based_on = fields.ReadReference("based_on");
  object.default_deadline =
      fields.ReadDuration("default_deadline", kDeadlineRange);
  object.max_deadline = fields.ReadDuration("max_deadline", kDeadlineRange);
  object.short_bound = fields.ReadDuration("short_bound", kDeadlineRange);
  object.long_body = fields.ReadSize("long_body", kBodyRange);
  object.max_body = fields.ReadSize("max_body", kBodyRange);
  object.key_memory = fields.ReadDuration("key_memory", kKeyMemoryRange);
  object.may_spill = fields.ReadBoolean("may_spill");
  return object;
}

auto ReadLimits(ObjectFields& fields, NamedObject named) -> LimitsObject {
  auto object = LimitsObject();
  static_cast<NamedObject&>(object) = std::move(named);
  object.max_requests_per_second =
      fields.ReadCount("max_requests_per_second", kRateRange);
  object.max_queue = fields.ReadCount("max_queue", kQueueRange);
  object.retry_ratio = fields.ReadRatio("retry_ratio", kRetryRange);
  return object;
}

auto ReadService(ObjectFields& fields, NamedObject named) -> ServiceObject {
  auto object = ServiceObject();
  static_cast<NamedObject&>(object) = std::move(named);
  const auto mode = fields.ReadChoice("mode", {"flow", "request"});
  if (!mode) {
    fields.ReportMissing("mode", "add 'mode: flow' or 'mode: request'");
  }
  object.mode = static_cast<ServiceKind>(mode.value_or(0));
  object.address = fields.ReadAddress("address").value_or(SocketAddress());
  object.address_place = fields.PlaceOf("address");
  object.contract = fields.ReadReference("contract");
  object.limits = fields.ReadReference("limits");
  object.buckets = fields.ReadCount("buckets", kBucketRange);
  object.idle_timeout = fields.ReadDuration("idle_timeout", kLifetimeRange);
  object.flow_lifetime = fields.ReadDuration("flow_lifetime", kLifetimeRange);
  return object;
}

auto ReadEndpoint(const YamlNode& map, const std::string& group,
                  const std::string& file, Findings& findings)
    -> EndpointObject {
  auto fields = ObjectFields(map, file, findings);
  fields.SetObjectName("endpoint_group " + group);
  auto object = EndpointObject();
  const auto name = fields.ReadName("name");
  object.name = group + "/" + name;
  object.place = fields.place();
  fields.SetObjectName("endpoint " + object.name);
  const auto data_centre = fields.ReadReference("data_centre");
  if (!data_centre) {
    fields.ReportMissing("data_centre", "add 'data_centre: NAME'");
  }
  object.data_centre = data_centre.value_or(Reference());
  object.address = fields.ReadAddress("address").value_or(SocketAddress());
  object.address_place = fields.PlaceOf("address");
  object.weight =
      fields.ReadCount("weight", kWeightRange).value_or(object.weight);
  object.slots = fields.ReadCount("slots", kSlotRange).value_or(object.slots);
  object.max_connections = fields.ReadCount("max_connections", kConnectionRange)
                               .value_or(object.max_connections);
  object.state = static_cast<EndpointState>(
      fields.ReadChoice("state", {"active", "cold", "draining"}).value_or(0));
  fields.CheckKeys();
  return object;
}

auto ReadGroup(ObjectFields& fields, NamedObject named, const std::string& file,
               Findings& findings) -> EndpointGroupObject {
  auto object = EndpointGroupObject();
  static_cast<NamedObject&>(object) = std::move(named);
  object.includes = fields.ReadReferences("includes");
  for (const auto* map : fields.ReadMaps("endpoints")) {
    object.endpoints.push_back(ReadEndpoint(*map, object.name, file, findings));
  }
  return object;
}

auto ReadPlacement(ObjectFields& fields, NamedObject named) -> PlacementObject {
  auto object = PlacementObject();
  static_cast<NamedObject&>(object) = std::move(named);
  const auto service = fields.ReadReference("service");
  if (!service) {
    fields.ReportMissing("service", "add 'service: NAME'");
  }
  object.service = service.value_or(Reference());
  const auto group = fields.ReadReference("group");
  if (!group) {
    fields.ReportMissing("group", "add 'group: NAME'");
  }
  object.group = group.value_or(Reference());
  object.data_centres = fields.ReadReferences("data_centres");
  if (object.data_centres.empty()) {
    fields.ReportMissing("data_centres", "add 'data_centres: [NAME, ...]'");
  }
  return object;
}

template <typename T>
void MoveTo(std::vector<T>& target, std::vector<T>& source) {
  target.insert(target.end(), std::make_move_iterator(source.begin()),
                std::make_move_iterator(source.end()));
}

}  // namespace

void ObjectReader::Append(ObjectReader other) {
  MoveTo(objects_.data_centres, other.objects_.data_centres);
  MoveTo(objects_.contracts, other.objects_.contracts);
  MoveTo(objects_.limits, other.objects_.limits);
  MoveTo(objects_.services, other.objects_.services);
  MoveTo(objects_.groups, other.objects_.groups);
  MoveTo(objects_.placements, other.objects_.placements);
  MoveTo(findings_, other.findings_);
  is_complete_ = is_complete_ && other.is_complete_;
}

void ObjectReader::Read(const std::string& text, const std::string& file) {
  const auto findings_before = findings_.size();
  const auto documents = ParseYaml(text, file, findings_);
  is_complete_ = is_complete_ && findings_.size() == findings_before;
  for (const auto& document : documents) {
    if (document.kind != YamlNode::Kind::kNull) {
      ReadDocument(document, file);
    }
  }
}

void ObjectReader::ReadDocument(const YamlNode& document,
                                const std::string& file) {
  auto fields = ObjectFields(document, file, findings_);
  if (document.kind != YamlNode::Kind::kMap) {
    fields.Report(fields.place(), "a document that is not an object",
                  "write a map with 'kind' and 'name'");
    is_complete_ = false;
    return;
  }
  const auto kinds = KindNames();
  const auto position = fields.ReadChoice("kind", kinds);
  if (!position) {
    fields.ReportMissing("kind", "add 'kind: service' or another kind");
    is_complete_ = false;
    return;
  }
  fields.SetObjectName(kinds[*position]);
  auto named = NamedObject{fields.ReadName("name"), fields.PlaceOf("name")};
  if (!named.name.empty()) {
    fields.SetObjectName(kinds[*position] + " " + named.name);
  }
  switch (static_cast<ObjectKind>(*position)) {
    case ObjectKind::kDataCentre:
      objects_.data_centres.push_back(ReadDataCentre(fields, named));
      break;
    case ObjectKind::kContract:
      objects_.contracts.push_back(ReadContract(fields, named));
      break;
    case ObjectKind::kLimits:
      objects_.limits.push_back(ReadLimits(fields, named));
      break;
    case ObjectKind::kService:
      objects_.services.push_back(ReadService(fields, named));
      break;
    case ObjectKind::kEndpointGroup:
      objects_.groups.push_back(ReadGroup(fields, named, file, findings_));
      break;
    case ObjectKind::kPlacement:
      objects_.placements.push_back(ReadPlacement(fields, named));
      break;
  }
  fields.CheckKeys();
}

}  // namespace hemlockwick
