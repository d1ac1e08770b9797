#include "Flow/token_router.h"

#include <utility>
#include <variant>

#include "Flow/opening_choice.h"

namespace hemlockwick {

namespace {

// Time for which the token of an endpoint that is not in the directory may be
// newer than the directory.
constexpr Duration kUnknownTime = std::chrono::milliseconds(2500);
constexpr std::size_t kMaxUnknownTokens = 256;

}  // namespace

TokenRouter::TokenRouter(const TokenRouterSettings& settings)
    : settings_(settings),
      watch_(settings.instance, settings.tracked_flows, notes_) {}

auto TokenRouter::Update(std::shared_ptr<const DirectorySnapshot> directory,
                         TimePoint now) -> std::vector<ResetFlow> {
  const auto previous = std::exchange(directory_, std::move(directory));
  auto resets = std::vector<ResetFlow>();
  for (const auto& departed : directory_->departed()) {
    const auto was_departed = previous != nullptr &&
                              previous->FindDeparted(departed.token) != nullptr;
    if (was_departed || !IsGone(departed, now)) {
      continue;
    }
    auto ended = watch_.ResetDeparted(departed.token);
    resets.insert(resets.end(), ended.begin(), ended.end());
  }
  std::erase_if(unknown_since_, [this](const auto& unknown) {
    return directory_->Find(unknown.first) != nullptr;
  });
  return resets;
}

auto TokenRouter::Decide(const TokenPacket& packet, TimePoint now)
    -> TokenAction {
  if (directory_ == nullptr) {
    return Drop(packet, DropReason::kNotReady);
  }
  const auto* const route = directory_->FindRoute(packet.service);
  if (route == nullptr) {
    return Reset(packet, ResetReason::kNoRoute, Duration(0));
  }
  return packet.opens ? Open(packet, *route, now)
                      : Continue(packet, *route, now);
}

auto TokenRouter::Open(const TokenPacket& packet, const Route& route,
                       TimePoint now) -> TokenAction {
  const auto flow = FlowKeyOf(packet.caller, packet.service);
  const auto tried = watch_.OnOpening(packet, now);
  const auto* const endpoint =
      ChooseEndpoint(*directory_, watch_.loads(),
                     {flow, route, settings_.data_centre, tried}, now);
  if (endpoint == nullptr) {
    watch_.OnEnded(flow);
    return directory_->is_settled()
               ? Reset(packet, ResetReason::kNoEndpoint, Duration(0))
               : Drop(packet, DropReason::kNoEndpoint);
  }
  watch_.OnOpened(packet, endpoint->token, now);
  const auto& load = watch_.LoadOf(endpoint->token, now);
  notes_.Add({.kind = RouterNote::Kind::kFlowOpened,
              .caller = packet.caller,
              .service = packet.service,
              .token = endpoint->token,
              .copy = packet.ack,
              .signs = load.signs.signs(),
              .waiting = load.waiting_flows});
  return ForwardWithToken{endpoint->report.id, endpoint->report.address,
                          ToWire(endpoint->token, packet.service)};
}

auto TokenRouter::Continue(const TokenPacket& packet, const Route& route,
                           TimePoint now) -> TokenAction {
  const auto resolved = directory_->Resolve(TokenOf(packet), route, now);
  if (const auto* const present =
          std::get_if<const DirectoryEndpoint*>(&resolved)) {
    return Forward(packet, (*present)->report, route, now);
  }
  if (const auto* const departed =
          std::get_if<const DepartedEndpoint*>(&resolved)) {
    return ToDeparted(packet, **departed, route, now);
  }
  if (std::holds_alternative<ForeignEndpoint>(resolved)) {
    return Drop(packet, DropReason::kForeignEndpoint);
  }
  return ToUnknown(packet, now);
}

auto TokenRouter::Forward(const TokenPacket& packet,
                          const EndpointReport& endpoint, const Route& route,
                          TimePoint now) -> TokenAction {
  const auto silent_for =
      watch_.OnPacket(packet, TokenOf(packet), route.may_repeat, now);
  if (silent_for) {
    return Reset(packet, ResetReason::kSilent, *silent_for);
  }
  return ForwardWithToken{endpoint.id, endpoint.address, packet.token};
}

// Whether a departed endpoint has ended. One that left without notice may be
// cut off from the platform only and still serve its flows.
auto TokenRouter::IsGone(const DepartedEndpoint& endpoint, TimePoint now) const
    -> bool {
  return endpoint.report.draining || !watch_.IsAlive(endpoint.token, now);
}

auto TokenRouter::ToDeparted(const TokenPacket& packet,
                             const DepartedEndpoint& endpoint,
                             const Route& route, TimePoint now) -> TokenAction {
  if (packet.resets) {
    return Drop(packet, DropReason::kUnknownEndpoint);
  }
  if (!IsGone(endpoint, now)) {
    return Forward(packet, endpoint.report, route, now);
  }
  return Reset(packet, ResetReason::kDeparted, now - endpoint.since);
}

// Decides a packet whose endpoint this instance has never heard of.
auto TokenRouter::ToUnknown(const TokenPacket& packet, TimePoint now)
    -> TokenAction {
  if (packet.resets) {
    return Drop(packet, DropReason::kUnknownEndpoint);
  }
  if (unknown_since_.size() >= kMaxUnknownTokens) {
    unknown_since_.clear();
  }
  const auto token = TokenOf(packet);
  const auto since = unknown_since_.try_emplace(token, now).first;
  const auto age = now - since->second;
  if (age >= kUnknownTime) {
    return Reset(packet, ResetReason::kUnknown, age);
  }
  return Drop(packet, DropReason::kUnknownEndpoint);
}

auto TokenRouter::Reset(const TokenPacket& packet, ResetReason reason,
                        Duration age) -> TokenAction {
  if (packet.resets) {
    return DropPacket{DropReason::kUnknownService};
  }
  watch_.OnEnded(FlowKeyOf(packet.caller, packet.service));
  notes_.Add({.kind = RouterNote::Kind::kFlowReset,
              .caller = packet.caller,
              .service = packet.service,
              .token = TokenOf(packet),
              .age = age,
              .detail = ToString(reason)});
  const auto seq = packet.opens ? 0 : packet.ack;
  return ResetFlow{packet.caller, packet.service, seq, reason};
}

auto TokenRouter::Drop(const TokenPacket& packet, DropReason reason)
    -> TokenAction {
  notes_.Add({.kind = RouterNote::Kind::kPacketDropped,
              .caller = packet.caller,
              .service = packet.service,
              .token = TokenOf(packet),
              .detail = ToString(reason)});
  return DropPacket{reason};
}

auto TokenRouter::OnTick(TimePoint now) -> std::vector<ResetFlow> {
  return watch_.OnTick(directory_.get(), now);
}

void TokenRouter::NoteShared(const std::vector<SharedSuspect>& suspects,
                             TimePoint now) {
  if (directory_ != nullptr) {
    watch_.NoteShared(suspects, *directory_, now);
  }
}

}  // namespace hemlockwick
