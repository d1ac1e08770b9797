#include "Flow/endpoint_signs.h"

namespace hemlockwick {

namespace {

// Signs of different flows that make an endpoint suspect: one packet may be
// lost by chance.
constexpr std::uint32_t kSignsToSuspect = 2;

// After this time without a new sign the earlier ones no longer count, and a
// new flow tries the endpoint again.
constexpr Duration kRetryTime = std::chrono::seconds(2);

// Packets sent again that make an endpoint silent, and the time without proof
// of life.
constexpr std::uint32_t kRepeatsToSilence = 2;
constexpr Duration kSilenceWithOpening = std::chrono::milliseconds(500);
// Data alone may wait for long work; openings never do.
constexpr Duration kSilenceOfData = std::chrono::milliseconds(2000);

// When an instance whose turn is `turn` tries an endpoint again that was
// suspected at `at`.
auto RetryAt(TimePoint at, double turn) -> TimePoint {
  return at + kRetryTime +
         std::chrono::duration_cast<Duration>(turn * kRetryTime);
}

}  // namespace

void EndpointSigns::NoteAlive(TimePoint now) {
  last_alive_ = now;
  Clear();
}

auto EndpointSigns::NoteSilence(SilentPacket packet, TimePoint sent_at,
                                TimePoint now) -> bool {
  if (sent_at < last_alive_) {
    return false;
  }
  ++CountOf(packet);
  last_sign_ = now;
  return true;
}

auto EndpointSigns::CountOf(SilentPacket packet) -> std::uint32_t& {
  switch (packet) {
    case SilentPacket::kOpening:
      return openings_;
    case SilentPacket::kRepeatedOpening:
      return repeated_openings_;
    case SilentPacket::kRepeatedData:
      break;
  }
  return repeated_data_;
}

void EndpointSigns::NoteShared(TimePoint at, double turn) {
  if (at > last_alive_) {
    shared_until_ = RetryAt(at, turn);
  }
}

void EndpointSigns::NoteFailing(TimePoint at, double turn) {
  failing_until_ = RetryAt(at, turn);
}

auto EndpointSigns::IsFailing(TimePoint now) const -> bool {
  return now < failing_until_;
}

auto EndpointSigns::IsSharedSuspect(TimePoint now) const -> bool {
  return now < shared_until_;
}

void EndpointSigns::Clear() {
  shared_until_ = TimePoint();
  openings_ = 0;
  repeated_openings_ = 0;
  repeated_data_ = 0;
}

auto EndpointSigns::IsSuspect(TimePoint now) const -> bool {
  return IsSharedSuspect(now) ||
         (signs() >= kSignsToSuspect && now - last_sign_ < kRetryTime);
}

auto EndpointSigns::IsSilent(TimePoint now) const -> bool {
  const auto is_recent = now - last_sign_ < kRetryTime;
  if (!is_recent || repeated_openings_ + repeated_data_ < kRepeatsToSilence) {
    return false;
  }
  const auto has_openings = openings_ + repeated_openings_ > 0;
  const auto needed = has_openings ? kSilenceWithOpening : kSilenceOfData;
  return now - last_alive_ >= needed;
}

}  // namespace hemlockwick
