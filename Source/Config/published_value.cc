#include "Config/published_value.h"

#include <algorithm>
#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "Config/config_consistency.h"
#include "Config/digest_text.h"
#include "Config/service_codec.h"
#include "Config/shard_split.h"

namespace hemlockwick {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kShardKeyPrefix = "hemlockwick/shard/";

// A body is a JSON object whose first member is the digest of the text that
// follows kDigestSuffix.
constexpr std::string_view kDigestPrefix = "{\"digest\":\"";
constexpr std::string_view kDigestSuffix = "\",";
constexpr std::size_t kHeaderLength =
    kDigestPrefix.size() + kDigestTextLength + kDigestSuffix.size();

auto ShardKey(Digest digest) -> std::string {
  return std::string(kShardKeyPrefix) + ToString(digest);
}

// Returns a JSON object whose first member is the digest of `rest`, the text of
// the other members and the closing brace.
auto PrependDigest(const std::string& rest) -> std::string {
  return std::string(kDigestPrefix) + ToString(Digest(HashBytes(rest))) +
         std::string(kDigestSuffix) + rest;
}

// Returns the digest that a body states. Fails with kInvalidArgument unless the
// content has this digest.
auto VerifyDigest(std::string_view body) -> Result<Digest> {
  const auto invalid = [] {
    return Fail(ErrorCode::kInvalidArgument,
                "the value does not match its digest", "publish it again");
  };
  if (body.size() < kHeaderLength || !body.starts_with(kDigestPrefix)) {
    return invalid();
  }
  const auto expected =
      ParseDigest(body.substr(kDigestPrefix.size(), kDigestTextLength));
  if (!expected || HashBytes(body.substr(kHeaderLength)) != expected->value()) {
    return invalid();
  }
  return *expected;
}

// Positions in the array that describes a data centre. Only an evacuated one
// has the last, which earlier releases ignore.
enum DataCentreField : std::size_t { kName, kRegion, kEvacuatedSince };

auto DataCentreToJson(const DataCentre& data_centre) -> Json {
  auto json = Json::array({data_centre.name, data_centre.region.value()});
  if (IsEvacuated(data_centre)) {
    json.push_back(data_centre.evacuated_since.value());
  }
  return json;
}

auto DataCentreFromJson(const Json& json) -> DataCentre {
  auto data_centre = DataCentre();
  data_centre.name = json.at(kName).get<std::string>();
  data_centre.id = IdFromName<DataCentreId>(data_centre.name);
  data_centre.region = RegionId(json.at(kRegion).get<std::uint64_t>());
  if (json.size() > kEvacuatedSince) {
    data_centre.evacuated_since =
        Version(json.at(kEvacuatedSince).get<std::uint64_t>());
  }
  return data_centre;
}

// Concatenates the digests of the shards.
auto JoinDigests(const std::vector<ShardRef>& shards) -> std::string {
  auto text = std::string();
  text.reserve(shards.size() * kDigestTextLength);
  for (const auto& shard : shards) {
    text += ToString(shard.digest);
  }
  return text;
}

auto SplitDigests(std::string_view text) -> std::vector<ShardRef> {
  auto shards = std::vector<ShardRef>();
  for (; !text.empty(); text.remove_prefix(kDigestTextLength)) {
    const auto digest = ParseDigest(text.substr(0, kDigestTextLength));
    if (!digest) {
      throw std::invalid_argument("malformed shard digest");
    }
    shards.push_back(ShardRef{ShardKey(*digest), *digest});
  }
  return shards;
}

// Runs a parser and converts its exceptions to kInvalidArgument.
template <typename T, typename Parse>
auto ParseOrFail(const Parse& parse) -> Result<T> {
  try {
    return parse();
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kInvalidArgument,
                "malformed published value: " + std::string(error.what()),
                "publish it again with hemlockwick check");
  }
}

auto Describe(const Findings& findings) -> std::string {
  auto text = std::string("the published set is not consistent");
  for (const auto& finding : findings) {
    text += "; " + finding.object + " " + finding.problem;
  }
  return text;
}

}  // namespace

auto EncodeFleetConfig(const FleetConfig& config)
    -> std::vector<PublishedValue> {
  auto index = PublishedIndex{
      config.version, config.digest, config.published, config.data_centres, {}};
  auto values = std::vector<PublishedValue>();
  for (const auto& services : SplitIntoShards(config.services)) {
    auto body = PrependDigest("\"services\":" + services + "}");
    const auto digest =
        *ParseDigest(body.substr(kDigestPrefix.size(), kDigestTextLength));
    auto key = ShardKey(digest);
    index.shards.push_back(ShardRef{key, digest});
    values.push_back(PublishedValue{std::move(key), std::move(body)});
  }
  values.push_back(PublishedValue{std::string(kIndexKey), EncodeIndex(index)});
  return values;
}

auto EncodeIndex(const PublishedIndex& index) -> std::string {
  auto data_centres = Json::array();
  for (const auto& data_centre : index.data_centres) {
    data_centres.push_back(DataCentreToJson(data_centre));
  }
  const auto json = Json{{"version", index.version.value()},
                         {"published", ToUnixMillis(index.published)},
                         {"data_centres", std::move(data_centres)},
                         {"shards", JoinDigests(index.shards)}};
  return PrependDigest(json.dump().substr(1));
}

auto DecodeIndex(std::string_view body) -> Result<PublishedIndex> {
  BOOST_LEAF_AUTO(digest, VerifyDigest(body));
  return ParseOrFail<PublishedIndex>([&body, digest = digest] {
    const auto json = Json::parse(body);
    auto index = PublishedIndex();
    index.version = Version(json.at("version").get<std::uint64_t>());
    index.digest = digest;
    index.published = FromUnixMillis(json.at("published").get<std::int64_t>());
    for (const auto& data_centre : json.at("data_centres")) {
      index.data_centres.push_back(DataCentreFromJson(data_centre));
    }
    index.shards = SplitDigests(json.at("shards").get<std::string>());
    return index;
  });
}

auto DecodeShard(std::string_view body)
    -> Result<std::shared_ptr<const ConfigShard>> {
  BOOST_LEAF_AUTO(digest, VerifyDigest(body));
  return ParseOrFail<std::shared_ptr<const ConfigShard>>(
      [&body, digest = digest] {
        const auto json = Json::parse(body);
        auto shard = std::make_shared<ConfigShard>();
        shard->digest = digest;
        for (const auto& service : json.at("services")) {
          shard->services.push_back(ServiceFromJson(service));
        }
        return shard;
      });
}

auto AssembleFleetConfig(
    const PublishedIndex& index,
    const std::vector<std::shared_ptr<const ConfigShard>>& shards)
    -> Result<std::shared_ptr<const FleetConfig>> {
  const auto matches = [](const ShardRef& ref,
                          const std::shared_ptr<const ConfigShard>& shard) {
    return shard != nullptr && ref.digest == shard->digest;
  };
  if (!std::equal(index.shards.begin(), index.shards.end(), shards.begin(),
                  shards.end(), matches)) {
    return Fail(ErrorCode::kRefused, "the shards are not those of the index",
                "fetch the shards that the index names, in its order");
  }
  auto services = std::vector<std::shared_ptr<const Service>>();
  for (const auto& shard : shards) {
    services.insert(services.end(), shard->services.begin(),
                    shard->services.end());
  }
  auto config = BuildFleetConfig(index.version, index.digest, index.published,
                                 index.data_centres, std::move(services));
  const auto findings = CheckConsistency(*config);
  if (!findings.empty()) {
    return Fail(ErrorCode::kRefused, Describe(findings),
                "check the objects with hemlockwick check");
  }
  return config;
}

}  // namespace hemlockwick
