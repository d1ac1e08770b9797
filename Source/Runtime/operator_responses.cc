#include "Runtime/operator_responses.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "Timeline/event_codec.h"

namespace hemlockwick {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

auto StateName(MemberState state) -> std::string_view {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      return "dead";
  }
  return "unknown";
}

auto ToJson(const MemberView& view) -> Json {
  auto members = Json::array();
  for (const auto& member : view.members) {
    members.push_back({{"name", member.name},
                       {"state", std::string(StateName(member.state))},
                       {"http", ToString(member.http_address)},
                       {"incarnation", member.incarnation}});
  }
  return members;
}

// Parses the parameter `after` of the query. Without it, returns the earliest
// stamp.
auto ParseAfter(const std::string& path) -> Result<std::optional<HlcStamp>> {
  constexpr auto kParameter = std::string_view("?after=");
  const auto begin = path.find(kParameter);
  if (begin == std::string::npos) {
    return HlcStamp();
  }
  BOOST_LEAF_AUTO(stamp, ParseHlcStamp(path.substr(begin + kParameter.size())));
  return std::optional(stamp);
}

}  // namespace

auto TextResponse(int status, std::string text) -> HttpResponse {
  return {status, {{"Content-Type", "text/plain"}}, std::move(text)};
}

auto ReadyResponse(const ControlView& view) -> HttpResponse {
  if (view.config == nullptr) {
    return TextResponse(kUnavailable, "no configuration is in force\n");
  }
  if (view.leaving) {
    return TextResponse(kUnavailable, "stopping\n");
  }
  return TextResponse(kOk, "ready\n");
}

auto MembersResponse(const ControlView& view) -> HttpResponse {
  return JsonResponse(ToJson(view.members).dump());
}

auto EventsResponse(const EventLog& events, const std::string& path)
    -> HttpResponse {
  const auto after =
      TryOr([&path] { return ParseAfter(path); },
            [](const Error&) { return std::optional<HlcStamp>(); });
  if (!after) {
    return TextResponse(kBadRequest, "after is not a stamp MILLIS.COUNTER\n");
  }
  return {kOk,
          {{"Content-Type", "application/x-ndjson"}},
          EncodeEvents(events.Since(*after))};
}

auto JsonResponse(std::string text) -> HttpResponse {
  return {kOk, {{"Content-Type", "application/json"}}, std::move(text) + "\n"};
}

}  // namespace hemlockwick
