#ifndef HEMLOCKWICK_FLOW_ANSWERED_REQUESTS_H_
#define HEMLOCKWICK_FLOW_ANSWERED_REQUESTS_H_

#include <deque>
#include <optional>

#include "Core/time.h"

namespace hemlockwick {

// The requests that any endpoint has answered lately, and the time in which
// answers kept coming. They tell an endpoint that does not answer from packets
// that are late for all endpoints: in this instance, on its link, or at the
// callers.
class AnsweredRequests {
 public:
  // Records an answer at `now` to a request forwarded at `sent_at`. Answers
  // must be recorded in the order of their times.
  void Add(TimePoint sent_at, TimePoint now);

  // Whether a request forwarded after `time` was answered at `deadline` or
  // before. Answers older than kRetention may be forgotten.
  [[nodiscard]] auto HasLaterThan(TimePoint time, TimePoint deadline) const
      -> bool;

  // Time in which answers have kept coming: of each gap between two of them,
  // and of the time since the last one, no more than kMaxGap counts.
  [[nodiscard]] auto AnsweredTimeAt(TimePoint now) const -> Duration;

  // The same between `time` and `now`, by the answers that are not forgotten.
  [[nodiscard]] auto AnsweredTimeSince(TimePoint time, TimePoint now) const
      -> Duration;

  // Time of the last answer; nullopt before the first one.
  [[nodiscard]] auto last_answer() const -> std::optional<TimePoint> {
    return last_answer_;
  }

  static constexpr Duration kMaxGap = std::chrono::milliseconds(200);
  static constexpr Duration kRetention = std::chrono::seconds(4);

 private:
  struct Answer {
    TimePoint at;
    TimePoint sent_at;
  };

  // Each was sent later than all those before it.
  std::deque<Answer> answers_;
  std::optional<TimePoint> last_answer_;
  Duration answered_time_{0};  // Until the last answer.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_ANSWERED_REQUESTS_H_
