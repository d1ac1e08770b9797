#include "Fleet/fleet_message.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace hemlockwick {

namespace {

using nlohmann::json;

// Longest message that is decoded, in bytes.
constexpr std::size_t kMaxMessageBytes = 16'000'000;

// An address is encoded as one number: the IPv4 address in the bits above the
// port.
constexpr unsigned kPortBits = 16;

auto ToNumber(const SocketAddress& address) -> std::uint64_t {
  const auto ip = static_cast<std::uint64_t>(address.ip.value());
  return (ip << kPortBits) | address.port.value();
}

auto ToAddress(std::uint64_t number) -> SocketAddress {
  return SocketAddress{
      Ipv4Address(static_cast<std::uint32_t>(number >> kPortBits)),
      Port(static_cast<std::uint16_t>(number))};
}

auto ToJson(const HlcStamp& stamp) -> json {
  return json::array({stamp.unix_millis, stamp.counter});
}

auto ToStamp(const json& value) -> HlcStamp {
  return HlcStamp{value.at(0).get<std::int64_t>(),
                  value.at(1).get<std::uint32_t>()};
}

// Encodes an update as an array to save bytes. A suspicion or death has the
// short form, without name and addresses, because it concerns only receivers
// that know the member already.
auto ToJson(const MemberUpdate& update) -> json {
  const auto& member = update.member;
  auto value = json::array({member.id.value(), static_cast<int>(member.state),
                            member.incarnation, update.listed ? 1 : 0});
  if (!member.name.empty()) {
    value.push_back(member.name);
    value.push_back(member.data_centre.value());
    value.push_back(ToNumber(member.http_address));
    value.push_back(ToNumber(member.packet_address));
    value.push_back(ToUnixMillis(member.started));
  }
  return value;
}

auto ToUpdate(const json& value) -> MemberUpdate {
  constexpr auto kShortFormFields = 4U;
  auto update = MemberUpdate();
  auto& member = update.member;
  member.id = InstanceId(value.at(0).get<std::uint64_t>());
  const auto state = value.at(1).get<int>();
  if (state < 0 || state > static_cast<int>(MemberState::kDead)) {
    throw json::other_error::create(0, "unknown member state", &value);
  }
  member.state = static_cast<MemberState>(state);
  member.incarnation = value.at(2).get<std::uint64_t>();
  update.listed = value.at(3).get<int>() != 0;
  if (value.size() > kShortFormFields) {
    member.name = value.at(4).get<std::string>();
    member.data_centre = DataCentreId(value.at(5).get<std::uint64_t>());
    member.http_address = ToAddress(value.at(6).get<std::uint64_t>());
    member.packet_address = ToAddress(value.at(7).get<std::uint64_t>());
    member.started = FromUnixMillis(value.at(8).get<std::int64_t>());
  }
  return update;
}

auto ToJson(const std::vector<MemberUpdate>& updates) -> json {
  auto values = json::array();
  for (const auto& update : updates) {
    values.push_back(ToJson(update));
  }
  return values;
}

auto ToUpdates(const json& values) -> std::vector<MemberUpdate> {
  auto updates = std::vector<MemberUpdate>();
  for (const auto& value : values) {
    updates.push_back(ToUpdate(value));
  }
  return updates;
}

// Encodes the fields that Probe, ProbeAck and Gossip share.
template <typename Message>
auto CommonFields(std::string_view type, const Message& message) -> json {
  return json{{"type", type},
              {"version", message.version.value()},
              {"digest", message.digest.value()},
              {"updates", ToJson(message.updates)},
              {"hlc", ToJson(message.stamp)},
              {"age", ToMillis(message.platform_age)}};
}

template <typename Message>
auto ReadCommonFields(const json& value) -> Message {
  auto message = Message();
  message.version = Version(value.at("version").get<std::uint64_t>());
  message.digest = Digest(value.at("digest").get<std::uint64_t>());
  message.updates = ToUpdates(value.at("updates"));
  message.stamp = ToStamp(value.at("hlc"));
  message.platform_age =
      std::chrono::milliseconds(value.at("age").get<std::int64_t>());
  return message;
}

auto ToJson(const Probe& message) -> json {
  auto value = CommonFields("probe", message);
  value["seq"] = message.sequence;
  value["members"] = message.member_digest;
  return value;
}

auto ToJson(const ProbeAck& message) -> json {
  auto value = CommonFields("ack", message);
  value["seq"] = message.sequence;
  return value;
}

auto ToJson(const ProbeRequest& message) -> json {
  return json{{"type", "probe_request"},
              {"seq", message.sequence},
              {"target", message.target.value()},
              {"incarnation", message.incarnation}};
}

auto ToJson(const ConfigFetch& message) -> json {
  return json{
      {"type", "fetch"},
      {"at_least", message.at_least.value()},
      {"keys", message.shard_keys},
      {"have", {message.have_version.value(), message.have_digest.value()}}};
}

auto ToJson(const ShardSplice& splice) -> json {
  auto added = json::array();
  for (const auto& shard : splice.added) {
    added.push_back({shard.key, shard.digest.value()});
  }
  return json::array({splice.position, splice.removed, added});
}

auto ToJson(const ConfigDelta& delta) -> json {
  auto splices = json::array();
  for (const auto& splice : delta.splices) {
    splices.push_back(ToJson(splice));
  }
  auto patches = json::array();
  for (const auto& patch : delta.patches) {
    patches.push_back({patch.base_key, json::parse(patch.patch)});
  }
  return json{{"base", {delta.base_version.value(), delta.base_digest.value()}},
              {"version", delta.version.value()},
              {"published", ToUnixMillis(delta.published)},
              {"splices", splices},
              {"patches", patches}};
}

auto ToJson(const ConfigOffer& message) -> json {
  auto value = json{{"type", "offer"},
                    {"index", message.index_body},
                    {"shards", message.shard_bodies}};
  if (message.delta) {
    value["delta"] = ToJson(*message.delta);
  }
  return value;
}

auto ToJson(const Gossip& message) -> json {
  auto value = CommonFields("gossip", message);
  value["members"] = message.member_digest;
  return value;
}

auto ToProbe(const json& value) -> FleetMessage {
  auto message = ReadCommonFields<Probe>(value);
  message.sequence = value.at("seq").get<std::uint64_t>();
  message.member_digest = value.at("members").get<std::uint64_t>();
  return message;
}

auto ToProbeAck(const json& value) -> FleetMessage {
  auto message = ReadCommonFields<ProbeAck>(value);
  message.sequence = value.at("seq").get<std::uint64_t>();
  return message;
}

auto ToGossip(const json& value) -> FleetMessage {
  auto message = ReadCommonFields<Gossip>(value);
  message.member_digest = value.at("members").get<std::uint64_t>();
  return message;
}

auto ToProbeRequest(const json& value) -> FleetMessage {
  return ProbeRequest{value.at("seq").get<std::uint64_t>(),
                      InstanceId(value.at("target").get<std::uint64_t>()),
                      value.at("incarnation").get<std::uint64_t>()};
}

auto ToConfigFetch(const json& value) -> FleetMessage {
  const auto& have = value.at("have");
  return ConfigFetch{Version(value.at("at_least").get<std::uint64_t>()),
                     value.at("keys").get<std::vector<std::string>>(),
                     Version(have.at(0).get<std::uint64_t>()),
                     Digest(have.at(1).get<std::uint64_t>())};
}

auto ToSplice(const json& value) -> ShardSplice {
  auto splice = ShardSplice();
  splice.position = value.at(0).get<std::size_t>();
  splice.removed = value.at(1).get<std::size_t>();
  for (const auto& shard : value.at(2)) {
    splice.added.push_back(ShardRef{shard.at(0).get<std::string>(),
                                    Digest(shard.at(1).get<std::uint64_t>())});
  }
  return splice;
}

auto ToConfigDelta(const json& value) -> ConfigDelta {
  auto delta = ConfigDelta();
  const auto& base = value.at("base");
  delta.base_version = Version(base.at(0).get<std::uint64_t>());
  delta.base_digest = Digest(base.at(1).get<std::uint64_t>());
  delta.version = Version(value.at("version").get<std::uint64_t>());
  delta.published = FromUnixMillis(value.at("published").get<std::int64_t>());
  for (const auto& splice : value.at("splices")) {
    delta.splices.push_back(ToSplice(splice));
  }
  for (const auto& patch : value.at("patches")) {
    delta.patches.push_back(
        ShardPatch{patch.at(0).get<std::string>(), patch.at(1).dump()});
  }
  return delta;
}

auto ToConfigOffer(const json& value) -> FleetMessage {
  auto offer = ConfigOffer();
  offer.index_body = value.at("index").get<std::string>();
  offer.shard_bodies = value.at("shards").get<std::vector<std::string>>();
  if (value.contains("delta")) {
    offer.delta = ToConfigDelta(value.at("delta"));
  }
  return offer;
}

auto ToMessage(const json& value) -> FleetMessage {
  const auto& type = value.at("type").get_ref<const std::string&>();
  if (type == "probe") {
    return ToProbe(value);
  }
  if (type == "ack") {
    return ToProbeAck(value);
  }
  if (type == "probe_request") {
    return ToProbeRequest(value);
  }
  if (type == "fetch") {
    return ToConfigFetch(value);
  }
  if (type == "offer") {
    return ToConfigOffer(value);
  }
  if (type == "gossip") {
    return ToGossip(value);
  }
  throw json::other_error::create(0, "unknown message type", &value);
}

}  // namespace

auto Encode(const FleetMessage& message) -> std::string {
  return std::visit([](const auto& typed) { return ToJson(typed).dump(); },
                    message);
}

auto DecodeFleetMessage(std::string_view text) -> Result<FleetMessage> {
  if (text.size() > kMaxMessageBytes) {
    return Fail(ErrorCode::kInvalidArgument, "fleet message is too long");
  }
  try {
    return ToMessage(json::parse(text));
  } catch (const json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument,
                std::string("malformed fleet message: ") + error.what());
  }
}

}  // namespace hemlockwick
