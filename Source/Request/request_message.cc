#include "Request/request_message.h"

#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace hemlockwick {

namespace {

using Json = nlohmann::json;

constexpr auto kLastKeyState = KeyState::kRefused;

// Latest time that a message can carry, in nanoseconds since the Unix epoch,
// and longest key memory. Their sum stays within the range of a duration.
constexpr Duration::rep kMaxTime = 4'000'000'000'000'000'000;
constexpr Duration kMaxMemory = std::chrono::hours(24 * 7);

auto StateFromJson(const Json& json) -> KeyState {
  const auto number = json.get<std::uint32_t>();
  if (number > static_cast<std::uint32_t>(kLastKeyState)) {
    throw std::invalid_argument("unknown key state");
  }
  return static_cast<KeyState>(number);
}

// Nanoseconds since the Unix epoch, so that a deadline is transmitted without
// rounding.
auto TimeToJson(TimePoint time) -> Json {
  return time.time_since_epoch().count();
}

auto TimeFromJson(const Json& json) -> TimePoint {
  const auto nanoseconds = json.get<Duration::rep>();
  if (nanoseconds < 0 || nanoseconds > kMaxTime) {
    throw std::invalid_argument("time out of range");
  }
  return TimePoint(Duration(nanoseconds));
}

auto MemoryFromJson(const Json& json) -> Duration {
  const auto memory = Duration(json.get<Duration::rep>());
  if (memory < Duration::zero() || memory > kMaxMemory) {
    throw std::invalid_argument("memory out of range");
  }
  return memory;
}

template <typename Id>
auto IdFromJson(const Json& json) -> Id {
  return Id(json.get<typename Id::RepType>());
}

auto ToJson(const KeyClaim& claim) -> Json {
  return Json{{"type", "claim"},
              {"key", claim.key.value()},
              {"request", claim.request.value()},
              {"deadline", TimeToJson(claim.deadline)},
              {"memory", claim.memory.count()}};
}

auto ToJson(const KeyVerdict& verdict) -> Json {
  return Json{{"type", "verdict"},
              {"key", verdict.key.value()},
              {"request", verdict.request.value()},
              {"state", verdict.state}};
}

auto ToJson(const KeySettled& settled) -> Json {
  return Json{{"type", "settled"},
              {"key", settled.key.value()},
              {"request", settled.request.value()},
              {"state", settled.state}};
}

auto ToJson(const KeyHandOver& message) -> Json {
  auto entries = Json::array();
  for (const auto& entry : message.entries) {
    entries.push_back(Json::array(
        {entry.key.value(), entry.claimant.value(), entry.request.value(),
         entry.state, TimeToJson(entry.deadline), TimeToJson(entry.expires)}));
  }
  return Json{{"type", "hand_over"},
              {"entries", std::move(entries)},
              {"knows_since", TimeToJson(message.knows_since)},
              {"part", message.part},
              {"parts", message.parts}};
}

auto ToJson(const DemandReport& report) -> Json {
  auto entries = Json::array();
  for (const auto& entry : report.entries) {
    entries.push_back(
        Json::array({entry.service.value(), entry.arrivals_per_second,
                     entry.queued, entry.in_flight}));
  }
  return Json{{"type", "demand"}, {"entries", std::move(entries)}};
}

auto ClaimFromJson(const Json& json) -> KeyClaim {
  return KeyClaim{IdFromJson<IdempotencyKey>(json.at("key")),
                  IdFromJson<RequestId>(json.at("request")),
                  TimeFromJson(json.at("deadline")),
                  MemoryFromJson(json.at("memory"))};
}

template <typename Message>
auto StateMessageFromJson(const Json& json) -> Message {
  return Message{IdFromJson<IdempotencyKey>(json.at("key")),
                 IdFromJson<RequestId>(json.at("request")),
                 StateFromJson(json.at("state"))};
}

auto HandOverFromJson(const Json& json) -> KeyHandOver {
  auto message = KeyHandOver();
  for (const auto& entry : json.at("entries")) {
    message.entries.push_back(KeyHandOver::Entry{
        IdFromJson<IdempotencyKey>(entry.at(0)),
        IdFromJson<InstanceId>(entry.at(1)), IdFromJson<RequestId>(entry.at(2)),
        StateFromJson(entry.at(3)), TimeFromJson(entry.at(4)),
        TimeFromJson(entry.at(5))});
  }
  message.knows_since = TimeFromJson(json.at("knows_since"));
  message.part = json.at("part").get<std::uint32_t>();
  message.parts = json.at("parts").get<std::uint32_t>();
  return message;
}

auto DemandFromJson(const Json& json) -> DemandReport {
  auto report = DemandReport();
  for (const auto& entry : json.at("entries")) {
    report.entries.push_back(DemandReport::Entry{
        IdFromJson<ServiceId>(entry.at(0)), entry.at(1).get<std::uint32_t>(),
        entry.at(2).get<std::uint32_t>(), entry.at(3).get<std::uint32_t>()});
  }
  return report;
}

auto MessageFromJson(const Json& json) -> RequestMessage {
  const auto type = json.at("type").get<std::string>();
  if (type == "claim") {
    return ClaimFromJson(json);
  }
  if (type == "verdict") {
    return StateMessageFromJson<KeyVerdict>(json);
  }
  if (type == "settled") {
    return StateMessageFromJson<KeySettled>(json);
  }
  if (type == "hand_over") {
    return HandOverFromJson(json);
  }
  if (type == "demand") {
    return DemandFromJson(json);
  }
  throw std::invalid_argument("unknown message type");
}

}  // namespace

auto Encode(const RequestMessage& message) -> std::string {
  return std::visit([](const auto& typed) { return ToJson(typed).dump(); },
                    message);
}

auto DecodeRequestMessage(std::string_view text) -> Result<RequestMessage> {
  try {
    return MessageFromJson(Json::parse(text));
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kInvalidArgument,
                "malformed request message: " + std::string(error.what()));
  }
}

}  // namespace hemlockwick
