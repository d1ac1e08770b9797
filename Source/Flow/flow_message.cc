#include "Flow/flow_message.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace hemlockwick {

namespace {

using nlohmann::json;

// Values of one record in a group: flow, and the seconds from its opening and
// from its last packet to `base`.
constexpr std::size_t kFieldsPerRecord = 3;
constexpr std::size_t kMaxRecords = 10'000;

auto WholeSeconds(TimePoint time) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::seconds>(
             time.time_since_epoch())
      .count();
}

auto FromSeconds(std::int64_t seconds) -> TimePoint {
  return TimePoint(std::chrono::seconds(seconds));
}

auto LatestTime(const std::vector<HandOverRecord>& records) -> std::int64_t {
  auto latest = std::int64_t{0};
  for (const auto& record : records) {
    latest = std::max(latest, WholeSeconds(record.last_seen));
    latest = std::max(latest, WholeSeconds(record.opened));
  }
  return latest;
}

auto EncodeHandOver(const HandOver& message) -> json {
  const auto base = LatestTime(message.records);
  auto groups = std::map<std::pair<ServiceId, EndpointId>, json>();
  for (const auto& record : message.records) {
    auto& fields = groups[{record.service, record.endpoint}];
    fields.push_back(record.flow.value());
    fields.push_back(base - WholeSeconds(record.opened));
    fields.push_back(base - WholeSeconds(record.last_seen));
  }
  auto encoded = json::array();
  for (auto& [key, fields] : groups) {
    encoded.push_back({{"service", key.first.value()},
                       {"endpoint", key.second.value()},
                       {"flows", std::move(fields)}});
  }
  return {{"kind", "hand_over"},
          {"sequence", message.sequence},
          {"last", message.last},
          {"partition", WholeSeconds(message.partition_effect_until)},
          {"base", base},
          {"groups", std::move(encoded)}};
}

void DecodeGroup(const json& group, std::int64_t base,
                 std::vector<HandOverRecord>& records) {
  const auto& fields = group.at("flows");
  for (std::size_t i = 0; i + kFieldsPerRecord <= fields.size();
       i += kFieldsPerRecord) {
    auto record = HandOverRecord();
    record.service = ServiceId(group.at("service").get<std::uint64_t>());
    record.endpoint = EndpointId(group.at("endpoint").get<std::uint64_t>());
    record.flow = FlowKey(fields.at(i).get<std::uint64_t>());
    record.opened = FromSeconds(base - fields.at(i + 1).get<std::uint32_t>());
    record.last_seen =
        FromSeconds(base - fields.at(i + 2).get<std::uint32_t>());
    records.push_back(record);
  }
}

auto DecodeHandOver(const json& document) -> Result<FlowMessage> {
  auto message = HandOver();
  message.sequence = document.at("sequence").get<std::uint64_t>();
  message.last = document.at("last").get<bool>();
  message.partition_effect_until =
      FromSeconds(document.at("partition").get<std::uint32_t>());
  const auto base = document.at("base").get<std::uint32_t>();
  for (const auto& group : document.at("groups")) {
    if (message.records.size() + group.at("flows").size() / kFieldsPerRecord >
        kMaxRecords) {
      return Fail(ErrorCode::kInvalidArgument, "too many flow records");
    }
    DecodeGroup(group, base, message.records);
  }
  return FlowMessage(std::move(message));
}

auto DecodeDocument(const json& document) -> Result<FlowMessage> {
  const auto kind = document.at("kind").get<std::string>();
  if (kind == "hand_over") {
    return DecodeHandOver(document);
  }
  if (kind == "hand_over_ack") {
    auto message = FlowMessage();
    message = HandOverAck{document.at("sequence").get<std::uint64_t>()};
    return message;
  }
  return Fail(ErrorCode::kInvalidArgument, "unknown flow message: " + kind);
}

}  // namespace

auto Encode(const FlowMessage& message) -> std::string {
  if (const auto* hand_over = std::get_if<HandOver>(&message)) {
    return EncodeHandOver(*hand_over).dump();
  }
  const auto& ack = std::get<HandOverAck>(message);
  return json{{"kind", "hand_over_ack"}, {"sequence", ack.sequence}}.dump();
}

auto DecodeFlowMessage(std::string_view text) -> Result<FlowMessage> {
  const auto document = json::parse(text, nullptr, false);
  if (document.is_discarded()) {
    return Fail(ErrorCode::kInvalidArgument, "flow message is not JSON");
  }
  try {
    return DecodeDocument(document);
  } catch (const json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument,
                std::string("malformed flow message: ") + error.what());
  }
}

}  // namespace hemlockwick
