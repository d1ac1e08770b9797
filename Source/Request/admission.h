#ifndef HEMLOCKWICK_REQUEST_ADMISSION_H_
#define HEMLOCKWICK_REQUEST_ADMISSION_H_

#include <cstddef>
#include <cstdint>

#include "Config/fleet_config.h"
#include "Core/time.h"
#include "Request/decayed_rate.h"

namespace hemlockwick {

// Adaptive length limit of one waiting queue. A queue that is empty from time
// to time may grow for as long as its requests can meet their deadlines. A
// standing queue, one that has not been empty for a while, is limited to the
// requests that it dispatches within the target wait.
class Admission {
 public:
  // `rate_window` is the window over which the drain rate is averaged.
  // `cuts_standing_queue` enables the limit for a standing queue.
  Admission(Duration rate_window, bool cuts_standing_queue);

  // Records that a request left the queue for an endpoint.
  void OnDispatch(TimePoint now) { drain_rate_.Add(1, now); }

  // Records the time that a request ran at an endpoint.
  void OnServiceTime(Duration service_time);

  // Moving mean of the time that requests run at endpoints.
  [[nodiscard]] auto mean_service_time() const -> Duration {
    return mean_service_time_;
  }

  // Records the length of the queue after a change.
  void OnQueueLength(std::size_t length, TimePoint now);

  // Estimated wait of a request behind `length` others; 0 while the drain rate
  // is too low for an estimate.
  [[nodiscard]] auto EstimateWait(std::size_t length, TimePoint now) const
      -> Duration;

  // Whether a request behind `length` others can be answered by `deadline`.
  [[nodiscard]] auto CanMeetDeadline(std::size_t length, TimePoint deadline,
                                     TimePoint now) const -> bool;

  // Whether the queue is a standing queue and is therefore cut.
  [[nodiscard]] auto IsOverloaded(TimePoint now) const -> bool;

  // Whether the queue is too long for one more request behind `length` others.
  [[nodiscard]] auto IsFull(std::size_t length, const Contract& contract,
                            TimePoint now) const -> bool;

  // Delay after which a refused caller should retry.
  [[nodiscard]] auto RetryAfter(std::size_t length, TimePoint now) const
      -> Duration;

 private:
  DecayedRate drain_rate_;
  bool cuts_standing_queue_;
  Duration mean_service_time_{0};
  TimePoint last_empty_;
  std::size_t length_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_ADMISSION_H_
