#include "Fleet/outbox.h"

namespace hemlockwick {

auto Outbox::Send(const Member& to, FleetMessage message, TrafficClass traffic,
                  TimePoint now) -> bool {
  const auto bytes = Encode(message).size() + kEnvelopeBytes;
  if (!budget_.TryTake(bytes, traffic, now)) {
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
  // A read is never held back here: the reader's own schedule bounds them.
  (void)budget_.TryTake(read.key.size() + kEnvelopeBytes, TrafficClass::kProbe,
                        now);
  Add(std::move(read));
}

}  // namespace hemlockwick
