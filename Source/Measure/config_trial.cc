#include "Measure/config_trial.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <string_view>
#include <utility>

#include "Config/config_check.h"
#include "Config/published_value.h"
#include "Core/random.h"
#include "Measure/heap_usage.h"
#include "Measure/stopwatch.h"

namespace hemlockwick {

namespace {

constexpr std::uint32_t kDataCentres = 22;
constexpr std::uint32_t kRegions = 6;
constexpr std::uint32_t kServiceNetwork = 0x0A000000;
constexpr std::uint32_t kEndpointNetwork = 0x0B000000;
constexpr std::uint32_t kRequestShare = 4;  // One service in this many.
constexpr TimePoint kPublished = FromUnixMillis(1'800'000'000'000);

using ConfigPointer = std::shared_ptr<const FleetConfig>;
using Shards = std::vector<std::shared_ptr<const ConfigShard>>;

auto AddressText(std::uint32_t network, std::uint32_t number) -> std::string {
  return ToString(SocketAddress{Ipv4Address(network + number), Port(7100)});
}

auto DataCentreName(std::uint32_t number) -> std::string {
  return "region-" + std::to_string(number % kRegions) + "-dc-" +
         std::to_string(number);
}

auto DataCentresText() -> std::string {
  auto text = std::string();
  for (std::uint32_t number = 0; number < kDataCentres; ++number) {
    text += "---\nkind: data_centre\nname: " + DataCentreName(number) +
            "\nregion: region-" + std::to_string(number % kRegions) + "\n";
  }
  return text + "---\nkind: contract\nname: default\ndefault_deadline: 10s\n";
}

auto EndpointText(std::uint32_t number, const std::string& data_centre)
    -> std::string {
  return "  - name: \"" + std::to_string(number) +
         "\"\n    data_centre: " + data_centre +
         "\n    address: " + AddressText(kEndpointNetwork, number) +
         "\n    slots: 3\n    max_connections: 2000\n";
}

auto ServiceText(std::uint32_t number, bool is_request) -> std::string {
  const auto name = "service-" + std::to_string(number);
  return "kind: service\nname: " + name +
         "\nmode: " + (is_request ? "request" : "flow") +
         "\naddress: " + AddressText(kServiceNetwork, number) + "\n" +
         (is_request ? "contract: default\n" : "") +
         "---\nkind: placement\nname: " + name + "\nservice: " + name +
         "\ngroup: " + name + "\ndata_centres: [";
}

// Bytes of the values of `after` whose keys `before` lacks, and of its index.
auto ChangedBytes(const std::vector<PublishedValue>& before,
                  const std::vector<PublishedValue>& after) -> double {
  auto known = std::set<std::string_view>();
  for (const auto& value : before) {
    known.insert(value.key);
  }
  auto bytes = std::size_t{0};
  for (const auto& value : after) {
    if (value.key == kIndexKey || !known.contains(value.key)) {
      bytes += value.body.size();
    }
  }
  return static_cast<double>(bytes);
}

// The configuration with one endpoint draining.
auto ChangeOneEndpoint(const FleetConfig& config) -> ConfigPointer {
  auto services = config.services;
  auto changed = *services[services.size() / 2];
  changed.endpoints.front().state = EndpointState::kDraining;
  services[services.size() / 2] = std::make_shared<Service>(changed);
  return BuildFleetConfig(Version(config.version.value() + 1), Digest(),
                          config.published, config.data_centres,
                          std::move(services));
}

auto DecodeShards(const std::vector<PublishedValue>& values) -> Result<Shards> {
  auto shards = Shards();
  for (std::size_t at = 0; at + 1 < values.size(); ++at) {
    BOOST_LEAF_AUTO(shard, DecodeShard(values[at].body));
    shards.push_back(std::move(shard));
  }
  return shards;
}

auto CheckFiles(const std::vector<ObjectFile>& files) -> Result<ConfigPointer> {
  const auto reader = ParseObjectFiles(files);
  const auto outcome =
      CheckObjects(reader, PreviousConfig(), Version(1), kPublished);
  if (outcome.config == nullptr) {
    return Fail(ErrorCode::kInternal, ToString(outcome.findings.front()));
  }
  return outcome.config;
}

void AddValueSizes(const std::vector<PublishedValue>& values,
                   ConfigTrialResult& result) {
  for (const auto& value : values) {
    const auto bytes = static_cast<double>(value.body.size());
    result.published_bytes += bytes;
    result.largest_value = std::max(result.largest_value, bytes);
  }
}

// Measures what an instance does with the values.
auto Assemble(const std::vector<PublishedValue>& values,
              ConfigTrialResult& result) -> Result<void> {
  const auto heap_before = HeapBytes();
  const auto watch = Stopwatch();
  BOOST_LEAF_AUTO(index, DecodeIndex(values.back().body));
  BOOST_LEAF_AUTO(shards, DecodeShards(values));
  BOOST_LEAF_AUTO(config, AssembleFleetConfig(index, shards));
  result.assemble_seconds = watch.Seconds();
  const auto update = Stopwatch();
  BOOST_LEAF_AUTO(same_index, DecodeIndex(values.back().body));
  BOOST_LEAF_AUTO(shard, DecodeShard(values.front().body));
  shards.front() = shard;
  BOOST_LEAF_ASSIGN(config, AssembleFleetConfig(same_index, shards));
  result.update_seconds = update.Seconds();
  result.memory_bytes = HeapBytes() - heap_before;
  return {};
}

}  // namespace

auto GenerateObjects(const ConfigTrialSize& size, std::uint64_t seed)
    -> std::vector<ObjectFile> {
  auto random = Random(seed);
  auto files = std::vector<ObjectFile>();
  files.push_back(ObjectFile{"data_centres.yaml", DataCentresText()});
  auto next_endpoint = std::uint32_t{0};
  for (std::uint32_t service = 0; service < size.services; ++service) {
    const auto left = size.services - service;
    const auto count = std::max(1U, (size.endpoints - next_endpoint) / left);
    const auto base = static_cast<std::uint32_t>(random.Below(kDataCentres));
    auto data_centres = std::string();
    auto endpoints = std::string();
    for (std::uint32_t at = 0; at < count; ++at) {
      const auto name =
          DataCentreName((base + (at % 3) * kRegions) % kDataCentres);
      endpoints += EndpointText(next_endpoint++, name);
      if (at < 3) {
        data_centres += (at == 0 ? "" : ", ") + name;
      }
    }
    const auto name = "service-" + std::to_string(service);
    auto text = ServiceText(service, service % kRequestShare == 0);
    text += data_centres;
    text += "]\n---\nkind: endpoint_group\nname: ";
    text += name;
    text += "\nendpoints:\n";
    text += endpoints;
    files.push_back(ObjectFile{name + ".yaml", std::move(text)});
  }
  return files;
}

auto RunConfigTrial(const ConfigTrialSize& size, std::uint64_t seed)
    -> Result<ConfigTrialResult> {
  auto result = ConfigTrialResult();
  const auto files = GenerateObjects(size, seed);
  for (const auto& file : files) {
    result.text_bytes += static_cast<double>(file.text.size());
  }
  const auto check = Stopwatch();
  BOOST_LEAF_AUTO(config, CheckFiles(files));
  result.check_seconds = check.Seconds();
  const auto encode = Stopwatch();
  const auto values = EncodeFleetConfig(*config);
  result.encode_seconds = encode.Seconds();
  AddValueSizes(values, result);
  result.change_bytes =
      ChangedBytes(values, EncodeFleetConfig(*ChangeOneEndpoint(*config)));
  BOOST_LEAF_CHECK(Assemble(values, result));
  return result;
}

}  // namespace hemlockwick
