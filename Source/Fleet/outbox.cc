#include "Fleet/outbox.h"

#include <algorithm>

namespace hemlockwick {

auto Outbox::Send(const Member& to, FleetMessage message, TrafficClass traffic,
                  TimePoint now) -> bool {
  const auto text = Encode(message);
  const auto escaped = std::count_if(
      text.begin(), text.end(), [](char c) { return c == '"' || c == '\\'; });
  const auto bytes =
      text.size() + static_cast<std::size_t>(escaped) + kEnvelopeBytes;
  if (!budget_.TryConsume(bytes, traffic, now)) {
    return false;
  }
  Add(SendFleetMessage{to.id, to.http_address, std::move(message)});
  return true;
}

auto Outbox::Send(const SocketAddress& to, FleetMessage message,
                  TrafficClass traffic, TimePoint now) -> bool {
  auto unknown = Member();
  unknown.http_address = to;
  return Send(unknown, std::move(message), traffic, now);
}

void Outbox::Add(FleetAction action) { actions_.push_back(std::move(action)); }

void Outbox::Read(PlatformRead read, TimePoint now) {
  // Reads count against the budget but are never refused here: PlatformReader's
  // own schedule limits them.
  (void)budget_.TryConsume(read.key.size() + kReadOverheadBytes,
                           TrafficClass::kProbe, now);
  Add(std::move(read));
}

}  // namespace hemlockwick
