#include "Runtime/operations.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace hemlockwick {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

auto JsonResponse(const Json& body) -> HttpResponse {
  return {kOk,
          {{"Content-Type", "application/json"}},
          body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n"};
}

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

auto StatusResponse(const ServeSettings& settings, const ControlView& view)
    -> HttpResponse {
  auto status = Json{{"name", settings.name},
                     {"data_centre", settings.data_centre},
                     {"leaving", view.leaving},
                     {"last_refusal", view.last_refusal},
                     {"members", ToJson(view.members)}};
  if (view.config != nullptr) {
    status["version"] = view.config->version.value();
    status["in_force_since_ms"] = ToUnixMillis(view.in_force_since);
  }
  return JsonResponse(status);
}

auto EventsResponse(const EventLog& events, const std::string& /*path*/)
    -> HttpResponse {
  auto list = Json::array();
  for (const auto& event : events.Since({})) {
    list.push_back({{"millis", event.stamp.unix_millis},
                    {"counter", event.stamp.counter},
                    {"instance", event.instance},
                    {"kind", std::string(ToString(event.kind))},
                    {"subject", event.subject},
                    {"detail", event.detail}});
  }
  return JsonResponse(list);
}

}  // namespace hemlockwick
