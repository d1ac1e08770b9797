#ifndef HEMLOCKWICK_MEASURE_PATTERN_ENDPOINT_H_
#define HEMLOCKWICK_MEASURE_PATTERN_ENDPOINT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "Core/time.h"
#include "Measure/token_pattern.h"

namespace hemlockwick {

// A request that an endpoint has accepted.
struct PatternWork {
  std::uint64_t flow = 0;
  std::uint32_t request = 0;  // Number of the request on its flow.
  Duration work{0};
};

// An endpoint with slots and a queue.
class PatternEndpoint {
 public:
  explicit PatternEndpoint(std::uint32_t slots) : slots_(slots) {}

  // Takes work. Returns it when it begins at once.
  auto Accept(const PatternWork& work) -> std::optional<PatternWork> {
    queue_.push_back(work);
    return Next();
  }

  // Ends one piece of work. Returns the next one, if any begins.
  auto Finish() -> std::optional<PatternWork> {
    --running_;
    return Next();
  }

  void Begin(PatternFault fault) { fault_ = fault; }
  [[nodiscard]] auto fault() const -> PatternFault { return fault_; }
  [[nodiscard]] auto is_dark() const -> bool {
    return fault_ == PatternFault::kDark;
  }

  // Work running or waiting.
  [[nodiscard]] auto open_work() const -> std::size_t {
    return running_ + queue_.size();
  }

 private:
  auto Next() -> std::optional<PatternWork> {
    constexpr int kSlowFactor = 5;
    if (queue_.empty() || running_ >= slots_) {
      return std::nullopt;
    }
    auto work = queue_.front();
    queue_.pop_front();
    ++running_;
    work.work *= fault_ == PatternFault::kSlow ? kSlowFactor : 1;
    return work;
  }

  std::uint32_t slots_;
  std::uint32_t running_ = 0;
  std::deque<PatternWork> queue_;
  PatternFault fault_ = PatternFault::kNone;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_PATTERN_ENDPOINT_H_
