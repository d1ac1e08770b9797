#include "Flow/endpoint_health.h"

#include <algorithm>

namespace hemlockwick {

namespace {

// Number of unanswered packets, of different flows, that make an endpoint
// suspect. A single packet may be lost by chance.
constexpr std::uint32_t kSuspectThreshold = 2;

// After this time without a new unanswered packet the earlier ones no longer
// count, and a new flow tries the endpoint again.
constexpr Duration kRetryInterval = std::chrono::seconds(2);

// Number of open flows with retransmitted data that make an endpoint silent,
// and the time without a reply that is needed too. An endpoint that replies at
// all does so within some ten times the usual time, unless all of its slots are
// taken by long requests.
constexpr std::uint32_t kSilentThreshold = 2;
constexpr int kSilencePerReplyTime = 12;
constexpr Duration kMinSilenceTime = std::chrono::milliseconds(500);
constexpr Duration kMaxSilenceTime = std::chrono::milliseconds(2000);

// Time at which an instance tries an endpoint again that was suspected at `at`.
auto RetryAt(TimePoint at, double jitter) -> TimePoint {
  return at + kRetryInterval +
         std::chrono::duration_cast<Duration>(jitter * kRetryInterval);
}

}  // namespace

void EndpointHealth::RecordReply(TimePoint now) {
  last_alive_ = now;
  Clear();
}

auto EndpointHealth::RecordUnanswered(UnansweredPacket packet,
                                      TimePoint sent_at, TimePoint now)
    -> bool {
  if (sent_at < last_alive_) {
    return false;
  }
  if (packet == UnansweredPacket::kRetransmittedData) {
    unanswered_data_since_ = retransmitted_data_ == 0
                                 ? sent_at
                                 : std::min(unanswered_data_since_, sent_at);
    if (retransmitted_data_ < kSilentThreshold) {
      silent_data_sent_at_ = retransmitted_data_ == 0
                                 ? sent_at
                                 : std::max(silent_data_sent_at_, sent_at);
    }
    last_unanswered_data_ = now;
  }
  ++CountOf(packet);
  last_unanswered_ = now;
  return true;
}

void EndpointHealth::RecordCaller(Ipv4Address caller, TimePoint sent_at) {
  if (retransmitted_data_ == 1) {
    silent_caller_ = caller;
  } else if (silent_caller_ && *silent_caller_ != caller) {
    silent_caller_.reset();
    silent_data_sent_at_ = std::max(silent_data_sent_at_, sent_at);
  }
}

auto EndpointHealth::CountOf(UnansweredPacket packet) -> std::uint32_t& {
  switch (packet) {
    case UnansweredPacket::kOpening:
      return openings_;
    case UnansweredPacket::kRetransmittedOpening:
      return retransmitted_openings_;
    case UnansweredPacket::kRetransmittedData:
      break;
  }
  return retransmitted_data_;
}

void EndpointHealth::RecordSharedSuspicion(TimePoint at, double jitter) {
  if (at > last_alive_) {
    shared_until_ = RetryAt(at, jitter);
  }
}

void EndpointHealth::RecordSharedFailure(TimePoint at, double jitter) {
  failing_until_ = RetryAt(at, jitter);
}

auto EndpointHealth::IsFailing(TimePoint now) const -> bool {
  return now < failing_until_;
}

auto EndpointHealth::IsSharedSuspect(TimePoint now) const -> bool {
  return now < shared_until_;
}

void EndpointHealth::Clear() {
  shared_until_ = TimePoint();
  openings_ = 0;
  retransmitted_openings_ = 0;
  retransmitted_data_ = 0;
}

auto EndpointHealth::IsSuspect(TimePoint now) const -> bool {
  return IsSharedSuspect(now) || (unanswered_packets() >= kSuspectThreshold &&
                                  now - last_unanswered_ < kRetryInterval);
}

auto EndpointHealth::IsSilent(TimePoint now) const -> bool {
  return retransmitted_data_ >= kSilentThreshold &&
         now - last_unanswered_data_ < kRetryInterval &&
         now - unanswered_data_since_ >= SilenceTime();
}

auto EndpointHealth::SilenceTime() const -> Duration {
  if (!usual_reply_time_) {
    return kMaxSilenceTime;
  }
  return std::clamp(kSilencePerReplyTime * *usual_reply_time_, kMinSilenceTime,
                    kMaxSilenceTime);
}

}  // namespace hemlockwick
