#include "Flow/endpoint_signs.h"

namespace hemlockwick {

namespace {

// Signs of different flows that make an endpoint suspect: one packet may be
// lost by chance.
constexpr std::uint32_t kSignsToSuspect = 2;

// After this time without a new sign a new flow tries the endpoint again.
constexpr Duration kRetryTime = std::chrono::seconds(2);

// Signs that make an endpoint silent, and the time without proof of life.
constexpr std::uint32_t kSignsToReset = 3;
constexpr Duration kSilenceWithOpening = std::chrono::milliseconds(500);
// Data alone may wait for long work; openings never do.
constexpr Duration kSilenceOfData = std::chrono::milliseconds(2000);

}  // namespace

void EndpointSigns::NoteAlive(TimePoint now) {
  last_alive_ = now;
  openings_ = 0;
  data_ = 0;
}

auto EndpointSigns::NoteSilence(SilentPacket packet, TimePoint sent_at,
                                TimePoint now) -> bool {
  if (sent_at <= last_alive_) {
    return false;
  }
  auto& count = packet == SilentPacket::kOpening ? openings_ : data_;
  ++count;
  last_sign_ = now;
  return true;
}

void EndpointSigns::Clear() {
  openings_ = 0;
  data_ = 0;
}

auto EndpointSigns::IsSuspect(TimePoint now) const -> bool {
  return signs() >= kSignsToSuspect && now - last_sign_ < kRetryTime;
}

auto EndpointSigns::IsSilent(TimePoint now) const -> bool {
  if (signs() < kSignsToReset) {
    return false;
  }
  const auto needed = openings_ > 0 ? kSilenceWithOpening : kSilenceOfData;
  return now - last_alive_ >= needed;
}

}  // namespace hemlockwick
