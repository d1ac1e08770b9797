#ifndef HEMLOCKWICK_FLOW_ENDPOINT_HEALTH_H_
#define HEMLOCKWICK_FLOW_ENDPOINT_HEALTH_H_

#include <cstdint>

#include "Core/time.h"

namespace hemlockwick {

// What a packet that got no reply was.
enum class UnansweredPacket : std::uint8_t {
  // An opening without a further packet of its flow for some time. Endpoints
  // reply at once, whatever they work on; but the flow may have moved to
  // another instance.
  kOpening,
  // An opening that the caller has sent again.
  kRetransmittedOpening,
  // Data that the caller has sent again. The reply may be held up by long work.
  kRetransmittedData,
};

// Passive health of one endpoint, from the flows that this instance forwards.
// A sign is an unanswered packet that was sent after the last proof of life;
// each comes from a flow of its own.
class EndpointHealth {
 public:
  // An endpoint counts as alive when it is first heard of.
  explicit EndpointHealth(TimePoint now) : last_alive_(now) {}

  // Notes that a caller has received something that the endpoint sent.
  void RecordReply(TimePoint now);

  // Notes a packet sent at `sent_at` that has had no reply. Returns whether it
  // counts as a sign.
  auto RecordUnanswered(UnansweredPacket packet, TimePoint sent_at,
                        TimePoint now) -> bool;

  // Notes that several instances have had signs until `at`. Weighs less than
  // anything that the endpoint has answered here since. `turn`, from 0 to 1,
  // sets this instance's turn to try the endpoint again: from kRetryInterval
  // until twice as long after `at`.
  void RecordSharedSuspicion(TimePoint at, double jitter);

  // Notes that several instances had requests unanswered until `at`. Not
  // cleared by answers: a failing endpoint gives some. `turn` as above.
  void RecordSharedFailure(TimePoint at, double jitter);

  // Whether the endpoint leaves requests unanswered, as several instances say.
  [[nodiscard]] auto IsFailing(TimePoint now) const -> bool;

  // Whether other instances suspect the endpoint.
  [[nodiscard]] auto IsSharedSuspect(TimePoint now) const -> bool;

  // Forgets all signs, for example after this process was suspended.
  void Clear();

  // Whether new flows should go elsewhere. After kRetryInterval without a
  // further sign one flow may try again.
  [[nodiscard]] auto IsSuspect(TimePoint now) const -> bool;

  // Whether the endpoint counts as dead, so that waiting flows may be reset.
  // Only what this instance has seen counts.
  [[nodiscard]] auto IsSilent(TimePoint now) const -> bool;

  [[nodiscard]] auto unanswered_packets() const -> std::uint32_t {
    return openings_ + retransmitted_openings_ + retransmitted_data_;
  }
  [[nodiscard]] auto last_alive() const -> TimePoint { return last_alive_; }

 private:
  auto CountOf(UnansweredPacket packet) -> std::uint32_t&;

  TimePoint last_alive_;
  TimePoint last_unanswered_;
  TimePoint shared_until_;
  TimePoint failing_until_;
  std::uint32_t openings_ = 0;
  std::uint32_t retransmitted_openings_ = 0;
  std::uint32_t retransmitted_data_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_ENDPOINT_HEALTH_H_
