#ifndef HEMLOCKWICK_FLOW_ENDPOINT_SIGNS_H_
#define HEMLOCKWICK_FLOW_ENDPOINT_SIGNS_H_

#include <cstdint>

#include "Core/time.h"

namespace hemlockwick {

// What a packet that got no reply was.
enum class SilentPacket : std::uint8_t {
  // An opening without a further packet of its flow for some time. Endpoints
  // reply at once, whatever they work on; but the flow may have moved to
  // another instance.
  kOpening,
  // An opening that the caller has sent again.
  kRepeatedOpening,
  // Data that the caller has sent again. The reply may be held up by long work.
  kRepeatedData,
};

// Passive health of one endpoint, from the flows that this instance forwards.
// A sign is an unanswered packet that was sent after the last proof of life;
// each comes from a flow of its own.
class EndpointSigns {
 public:
  // An endpoint counts as alive when it is first heard of.
  explicit EndpointSigns(TimePoint now) : last_alive_(now) {}

  // Notes that a caller has received something that the endpoint sent.
  void NoteAlive(TimePoint now);

  // Notes a packet sent at `sent_at` that has had no reply. Returns whether it
  // counts as a sign.
  auto NoteSilence(SilentPacket packet, TimePoint sent_at, TimePoint now)
      -> bool;

  // Notes that several instances have had signs until `at`. Weighs less than
  // anything that the endpoint has answered here since. `turn`, from 0 to 1,
  // sets this instance's turn to try the endpoint again: from kRetryTime until
  // twice as long after `at`.
  void NoteShared(TimePoint at, double turn);

  // Notes that several instances had requests unanswered until `at`. Not
  // cleared by answers: a failing endpoint gives some. `turn` as above.
  void NoteFailing(TimePoint at, double turn);

  // Whether the endpoint leaves requests unanswered, as several instances say.
  [[nodiscard]] auto IsFailing(TimePoint now) const -> bool;

  // Whether other instances suspect the endpoint.
  [[nodiscard]] auto IsSharedSuspect(TimePoint now) const -> bool;

  // Forgets all signs, for example after this process was suspended.
  void Clear();

  // Whether new flows should go elsewhere. After kRetryTime without a further
  // sign one flow may try again.
  [[nodiscard]] auto IsSuspect(TimePoint now) const -> bool;

  // Whether the endpoint counts as dead, so that waiting flows may be reset.
  // Only what this instance has seen counts.
  [[nodiscard]] auto IsSilent(TimePoint now) const -> bool;

  [[nodiscard]] auto signs() const -> std::uint32_t {
    return openings_ + repeated_openings_ + repeated_data_;
  }
  [[nodiscard]] auto last_alive() const -> TimePoint { return last_alive_; }

 private:
  auto CountOf(SilentPacket packet) -> std::uint32_t&;

  TimePoint last_alive_;
  TimePoint last_sign_;
  TimePoint shared_until_;
  TimePoint failing_until_;
  std::uint32_t openings_ = 0;
  std::uint32_t repeated_openings_ = 0;
  std::uint32_t repeated_data_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_ENDPOINT_SIGNS_H_
