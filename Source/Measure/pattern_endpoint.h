#ifndef HEMLOCKWICK_MEASURE_PATTERN_ENDPOINT_H_
#define HEMLOCKWICK_MEASURE_PATTERN_ENDPOINT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "Core/ids.h"
#include "Core/time.h"
#include "Measure/token_pattern.h"

namespace hemlockwick {

// A request that an endpoint has accepted.
struct PatternWork {
  std::uint64_t flow = 0;
  std::uint32_t request = 0;  // Number of the request on its flow.
  Duration work{0};
  bool is_long = false;
  TimePoint arrived;
  // Whether a slot of another endpoint was idle when it arrived.
  bool idle_elsewhere = false;
  Duration waited{0};  // Before its work began.
};

// An endpoint with slots and a queue.
class PatternEndpoint {
 public:
  PatternEndpoint(DataCentreId data_centre, std::uint32_t slots)
      : data_centre_(data_centre), slots_(slots) {}

  // Takes work. Returns it when it begins at once.
  auto Accept(const PatternWork& work, TimePoint now)
      -> std::optional<PatternWork> {
    queue_.push_back(work);
    return Next(now);
  }

  // Ends one piece of work. Returns the next one, if any begins.
  auto Finish(TimePoint now) -> std::optional<PatternWork> {
    --running_;
    return Next(now);
  }

  void Begin(PatternFault fault) { fault_ = fault; }
  void set_speed(double speed) { speed_ = speed; }
  [[nodiscard]] auto speed() const -> double { return speed_; }
  // Share of the slots above which work takes longer.
  void set_knee(double knee) { knee_ = knee; }
  // Work takes longer until then.
  void set_cold_until(TimePoint time) { cold_until_ = time; }
  [[nodiscard]] auto cold_until() const -> TimePoint { return cold_until_; }
  [[nodiscard]] auto fault() const -> PatternFault { return fault_; }
  [[nodiscard]] auto is_dark() const -> bool {
    return fault_ == PatternFault::kDark;
  }

  // Leaves: its flows end with their next answer.
  void Drain() { is_draining_ = true; }
  [[nodiscard]] auto is_draining() const -> bool { return is_draining_; }

  [[nodiscard]] auto data_centre() const -> DataCentreId {
    return data_centre_;
  }
  [[nodiscard]] auto has_idle_slot() const -> bool { return running_ < slots_; }
  // Requests whose work has begun.
  [[nodiscard]] auto runs() const -> std::size_t { return runs_; }

  // Work running or waiting.
  [[nodiscard]] auto open_work() const -> std::size_t {
    return running_ + queue_.size();
  }

 private:
  auto Next(TimePoint now) -> std::optional<PatternWork> {
    constexpr int kSlowFactor = 5;
    if (queue_.empty() || running_ >= slots_) {
      return std::nullopt;
    }
    auto work = queue_.front();
    queue_.pop_front();
    ++running_;
    ++runs_;
    work.waited = now - work.arrived;
    work.work *= fault_ == PatternFault::kSlow ? kSlowFactor : 1;
    work.work = std::chrono::duration_cast<Duration>(
        work.work * (BusyFactor() * ColdFactor(now) / speed_));
    return work;
  }

  // How much longer work takes because more than `knee_` of the slots are busy.
  [[nodiscard]] auto BusyFactor() const -> double {
    constexpr double kBusyFactor = 2.5;
    return running_ > knee_ * slots_ ? kBusyFactor : 1.0;
  }
  [[nodiscard]] auto ColdFactor(TimePoint now) const -> double {
    constexpr double kColdFactor = 2.5;
    return now < cold_until_ ? kColdFactor : 1.0;
  }

  DataCentreId data_centre_;
  std::uint32_t slots_;
  std::uint32_t running_ = 0;
  std::size_t runs_ = 0;
  bool is_draining_ = false;
  std::deque<PatternWork> queue_;
  PatternFault fault_ = PatternFault::kNone;
  double speed_ = 1;
  double knee_ = 1;
  TimePoint cold_until_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_PATTERN_ENDPOINT_H_
