#ifndef HEMLOCKWICK_REQUEST_ADMISSION_H_
#define HEMLOCKWICK_REQUEST_ADMISSION_H_

#include <cstddef>
#include <cstdint>

#include "Config/fleet_config.h"
#include "Core/time.h"
#include "Request/decayed_rate.h"

namespace hemlockwick {

// Adaptive bound of one waiting queue. While the queue empties now and then,
// it may grow as long as its requests can meet their deadlines; once it has
// stood for a while, it is cut to what drains within the target wait.
class Admission {
 public:
  Admission(Duration rate_window, bool cuts_standing_queue);

  // A request left the queue for an endpoint.
  void OnDispatch(TimePoint now) { drain_rate_.Add(1, now); }

  // A request ran for this long at an endpoint.
  void OnServiceTime(Duration service_time);

  // Mean time that requests run at endpoints.
  [[nodiscard]] auto mean_service_time() const -> Duration {
    return mean_service_time_;
  }

  // Tells how long the queue is after a change.
  void OnQueueLength(std::size_t length, TimePoint now);

  // Time that a request behind `length` others would wait.
  [[nodiscard]] auto EstimateWait(std::size_t length, TimePoint now) const
      -> Duration;

  // Whether a request behind `length` others can be answered by `deadline`.
  [[nodiscard]] auto CanMeetDeadline(std::size_t length, TimePoint deadline,
                                     TimePoint now) const -> bool;

  // Whether the queue has stood for so long that it is cut.
  [[nodiscard]] auto IsOverloaded(TimePoint now) const -> bool;

  // Whether one more request behind `length` others is too many.
  [[nodiscard]] auto IsFull(std::size_t length, const Contract& contract,
                            TimePoint now) const -> bool;

  // When a refused caller had better try again.
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
