#ifndef HEMLOCKWICK_FLOW_ENDPOINT_HEALTH_H_
#define HEMLOCKWICK_FLOW_ENDPOINT_HEALTH_H_

#include <cstdint>
#include <optional>

#include "Core/net_address.h"
#include "Core/time.h"

namespace hemlockwick {

// Kind of a packet that has had no reply.
enum class UnansweredPacket : std::uint8_t {
  // An opening that no further packet of its flow has followed for some time.
  // The flow may have moved to another instance.
  kOpening,
  // An opening that the caller has retransmitted. An endpoint that has as many
  // flows as it can hold does not reply to openings.
  kRetransmittedOpening,
  // Data of an open flow that the caller has retransmitted. A long request may
  // delay the reply.
  kRetransmittedData,
};

// Passive health check of one endpoint, based on the flows that this instance
// forwards. Counts the packets sent after the last reply of the endpoint that
// have had no reply, each from a different flow.
class EndpointHealth {
 public:
  // The endpoint counts as alive at `now`, when it is first seen.
  explicit EndpointHealth(TimePoint now) : last_alive_(now) {}

  // Records that a caller has received something that the endpoint sent.
  void RecordReply(TimePoint now);

  // Sets the time that replies usually take. It decides how long a silence must
  // be.
  void SetUsualReplyTime(Duration time) { usual_reply_time_ = time; }

  // Records a packet sent at `sent_at` that has had no reply. Returns whether
  // it counts; it does not if the endpoint has replied since.
  auto RecordUnanswered(UnansweredPacket packet, TimePoint sent_at,
                        TimePoint now) -> bool;

  // Records whose data it was that RecordUnanswered has just counted. Data of
  // two callers is told from that of one, whose own link may be cut.
  void RecordCaller(Ipv4Address caller, TimePoint sent_at);

  // Records that several instances had packets unanswered until `at`. Ignored
  // if the endpoint has replied here since. `jitter`, from 0 to 1, spreads the
  // retries of the instances: this instance tries the endpoint again between
  // kRetryInterval and twice as long after `at`.
  void RecordSharedSuspicion(TimePoint at, double jitter);

  // Records that several instances had requests unanswered until `at`. Not
  // cleared by replies, since a failing endpoint sends some. `jitter` as above.
  void RecordSharedFailure(TimePoint at, double jitter);

  // Whether several instances report that the endpoint leaves requests
  // unanswered.
  [[nodiscard]] auto IsFailing(TimePoint now) const -> bool;

  // Whether other instances suspect the endpoint.
  [[nodiscard]] auto IsSharedSuspect(TimePoint now) const -> bool;

  // Clears the counts and the suspicion of other instances, for example after
  // this process was suspended.
  void Clear();

  // Whether new flows should avoid the endpoint. After kRetryInterval without a
  // further unanswered packet one flow may try it again.
  [[nodiscard]] auto IsSuspect(TimePoint now) const -> bool;

  // Whether the endpoint counts as dead, so that waiting flows may be reset.
  // Only observations of this instance on open flows count: an endpoint that
  // does not reply to openings may still serve its open flows. The caller has
  // to rule out that packets are late for all endpoints; see AnsweredRequests.
  [[nodiscard]] auto IsSilent(TimePoint now) const -> bool;

  // How long a silence of the endpoint must be.
  [[nodiscard]] auto SilenceTime() const -> Duration;

  [[nodiscard]] auto unanswered_packets() const -> std::uint32_t {
    return openings_ + retransmitted_openings_ + retransmitted_data_;
  }
  [[nodiscard]] auto last_alive() const -> TimePoint { return last_alive_; }

  // When the latest of the retransmitted data was sent that made the endpoint
  // silent; later data is of no account.
  [[nodiscard]] auto silent_data_sent_at() const -> TimePoint {
    return silent_data_sent_at_;
  }

  // The caller of all the retransmitted data; nullopt when there are several.
  [[nodiscard]] auto silent_caller() const -> std::optional<Ipv4Address> {
    return silent_caller_;
  }

 private:
  auto CountOf(UnansweredPacket packet) -> std::uint32_t&;

  std::optional<Duration> usual_reply_time_;
  TimePoint last_alive_;
  TimePoint last_unanswered_;
  TimePoint last_unanswered_data_;
  TimePoint unanswered_data_since_;
  TimePoint silent_data_sent_at_;
  std::optional<Ipv4Address> silent_caller_;
  TimePoint shared_until_;
  TimePoint failing_until_;
  std::uint32_t openings_ = 0;
  std::uint32_t retransmitted_openings_ = 0;
  std::uint32_t retransmitted_data_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_ENDPOINT_HEALTH_H_
