#ifndef HEMLOCKWICK_REQUEST_CALLER_QUEUE_H_
#define HEMLOCKWICK_REQUEST_CALLER_QUEUE_H_

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "Core/ids.h"
#include "Core/time.h"
#include "Request/decayed_rate.h"

namespace hemlockwick {

// A request that waits for a slot.
struct WaitingRequest {
  RequestId request;
  CallerId caller;
  TimePoint deadline;
  TimePoint since;
  double cost = 1;  // Deficit that it takes; 1 is one quantum.
};

// Waiting requests of one class: deficit round robin among callers, earliest
// deadline first within a caller.
class CallerQueue {
 public:
  // Adds a request. With `keep_turn`, its caller is served next.
  void Push(const WaitingRequest& waiting, bool keep_turn = false);

  // Returns the request to dispatch next, or null if the queue is empty.
  auto Next() -> const WaitingRequest*;

  // Removes the request that Next returned and charges its caller.
  void PopNext(TimePoint now);

  // Removes one request. Returns false if it is not in the queue.
  auto Remove(const WaitingRequest& waiting) -> bool;

  // Returns the request to refuse first: the one with the latest deadline of
  // the caller with the highest usage, which counts recently served and waiting
  // requests. Returns nothing if the queue is empty.
  [[nodiscard]] auto SelectVictim(TimePoint now) const
      -> std::optional<WaitingRequest>;

  [[nodiscard]] auto size() const -> std::size_t { return size_; }
  [[nodiscard]] auto empty() const -> bool { return size_ == 0; }

 private:
  using QueueKey = std::pair<TimePoint, RequestId>;
  struct Caller {
    std::map<QueueKey, WaitingRequest> waiting;
    std::list<CallerId>::iterator turn;
    double deficit = 0;
  };

  [[nodiscard]] auto Usage(CallerId caller, std::size_t waiting,
                           TimePoint now) const -> double;
  void Erase(std::unordered_map<CallerId, Caller>::iterator caller,
             std::map<QueueKey, WaitingRequest>::iterator entry);
  void ForgetIdleCallers(TimePoint now);

  std::unordered_map<CallerId, Caller> callers_;
  std::list<CallerId> turns_;
  std::unordered_map<CallerId, DecayedRate> served_;
  TimePoint next_forget_;
  std::size_t size_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_CALLER_QUEUE_H_
