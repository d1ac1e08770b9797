#ifndef HEMLOCKWICK_EDGE_HEALTH_MAILBOX_H_
#define HEMLOCKWICK_EDGE_HEALTH_MAILBOX_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "Flow/cold_start_limiter.h"
#include "Flow/endpoint_stats.h"

namespace hemlockwick {

// Exchanges health data of endpoints between the traffic thread and the control
// thread. Local observations are made by the traffic thread and sent to other
// instances by the control thread; shared suspects are received from other
// instances. Reply statistics and speeds take the same way. May be used by both
// threads at once. The size is bounded by the number of endpoints: each is
// listed once, and in the replies once for each second that the control thread
// has not taken yet.
class HealthMailbox {
 public:
  void AddLocal(const EndpointObservations& observations) {
    const auto lock = std::lock_guard(mutex_);
    local_.Merge(observations);
  }

  auto TakeLocal() -> EndpointObservations {
    const auto lock = std::lock_guard(mutex_);
    return std::exchange(local_, {});
  }

  // Replaces what the traffic thread has not taken yet.
  void SetShared(std::vector<SharedSuspect> suspects) {
    const auto lock = std::lock_guard(mutex_);
    shared_ = std::move(suspects);
  }

  auto TakeShared() -> std::vector<SharedSuspect> {
    const auto lock = std::lock_guard(mutex_);
    return std::exchange(shared_, {});
  }

  // Replies observed here. Empty most of the time, see
  // TokenRouter::TakeReplySummaries.
  void AddReplies(const std::vector<ReplySummary>& replies) {
    if (replies.empty()) {
      return;
    }
    const auto lock = std::lock_guard(mutex_);
    replies_.insert(replies_.end(), replies.begin(), replies.end());
  }

  auto TakeReplies() -> std::vector<ReplySummary> {
    const auto lock = std::lock_guard(mutex_);
    return std::exchange(replies_, {});
  }

  // Replaces what the traffic thread has not taken yet.
  void SetSpeeds(std::vector<SharedSpeed> speeds) {
    const auto lock = std::lock_guard(mutex_);
    speeds_ = std::move(speeds);
  }

  // nullopt when there are no new ones.
  auto TakeSpeeds() -> std::optional<std::vector<SharedSpeed>> {
    const auto lock = std::lock_guard(mutex_);
    return std::exchange(speeds_, std::nullopt);
  }

  // The number of instances to assume, for the traffic thread.
  void SetInstances(std::uint32_t instances) {
    instances_.store(instances, std::memory_order_relaxed);
  }
  [[nodiscard]] auto instances() const -> std::uint32_t {
    return instances_.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::uint32_t> instances_{kUnknownInstances};
  std::mutex mutex_;
  EndpointObservations local_;
  std::vector<SharedSuspect> shared_;
  std::vector<ReplySummary> replies_;
  std::optional<std::vector<SharedSpeed>> speeds_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_HEALTH_MAILBOX_H_
