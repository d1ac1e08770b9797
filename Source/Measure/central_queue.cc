#include "Measure/central_queue.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace hemlockwick {

namespace {

struct CentralEndpoint {
  std::size_t busy = 0;
  std::size_t busy_long = 0;
  Duration busy_time{0};
};

struct CentralRun {
  Duration end;
  std::size_t endpoint;
  std::size_t request;

  friend auto operator>(const CentralRun& left, const CentralRun& right)
      -> bool {
    return left.end > right.end;
  }
};

// One central queue over all slots of a trace.
class CentralQueue {
 public:
  CentralQueue(const RequestTrace& trace, Duration max_short_wait)
      : trace_(trace),
        max_short_wait_(max_short_wait),
        endpoints_(trace.endpoints) {
    outcome_.policy = "central";
    outcome_.fates.resize(trace.requests.size());
  }

  auto Run() -> ReplayOutcome {
    for (const auto& fault : trace_.faults) {
      AddWake(fault.to);
    }
    for (auto index = std::size_t{0}; index < trace_.requests.size(); ++index) {
      const auto at = trace_.requests[index].at;
      AdvanceTo(at);
      auto& queue = trace_.requests[index].is_long ? long_ : short_;
      queue.push_back(index);
      StartWork(at);
    }
    AdvanceTo(Duration::max());
    for (const auto& endpoint : endpoints_) {
      outcome_.busy_times.push_back(endpoint.busy_time);
    }
    return std::move(outcome_);
  }

 private:
  void AddWake(Duration at) { wakes_.push(at); }

  void AdvanceTo(Duration until) {
    while (true) {
      const auto run_end = runs_.empty() ? Duration::max() : runs_.top().end;
      const auto wake = wakes_.empty() ? Duration::max() : wakes_.top();
      const auto next = std::min(run_end, wake);
      if (next > until || next == Duration::max()) {
        return;
      }
      if (wake == next) {
        wakes_.pop();
      } else {
        EndRun();
      }
      StartWork(next);
    }
  }

  void EndRun() {
    const auto run = runs_.top();
    runs_.pop();
    auto& endpoint = endpoints_[run.endpoint];
    --endpoint.busy;
    endpoint.busy_long -= trace_.requests[run.request].is_long ? 1 : 0;
  }

  void StartWork(Duration now) {
    while (StartFirst(short_, now)) {
    }
    while (StartFirst(long_, now)) {
    }
  }

  // Starts or refuses the first request of a queue; false when it must wait.
  auto StartFirst(std::deque<std::size_t>& queue, Duration now) -> bool {
    if (queue.empty()) {
      return false;
    }
    const auto index = queue.front();
    const auto& request = trace_.requests[index];
    const auto deadline =
        request.is_long ? trace_.long_deadline : trace_.short_deadline;
    const auto waited = now - request.at;
    const auto too_late = waited + request.service_time > deadline ||
                          (!request.is_long && waited > max_short_wait_);
    if (too_late) {
      queue.pop_front();
      return true;
    }
    const auto endpoint = FindSlot(request, now);
    if (!endpoint.has_value()) {
      return false;
    }
    queue.pop_front();
    Start(index, *endpoint, now);
    return true;
  }

  auto FindSlot(const TracedRequest& request, Duration now)
      -> std::optional<std::size_t> {
    auto best = std::optional<std::size_t>();
    for (auto index = std::size_t{0}; index < endpoints_.size(); ++index) {
      const auto& endpoint = endpoints_[index];
      const auto long_limit = trace_.slots > 1 ? trace_.slots - 1 : 1;
      const auto has_slot =
          endpoint.busy < trace_.slots &&
          (!request.is_long || endpoint.busy_long < long_limit);
      const auto end = now + request.service_time * Slowness(index, now);
      if (!has_slot || IsDown(index, now, end)) {
        continue;
      }
      if (!best.has_value() ||
          endpoint.busy_time < endpoints_[*best].busy_time) {
        best = index;
      }
    }
    return best;
  }

  void Start(std::size_t index, std::size_t endpoint, Duration now) {
    const auto& request = trace_.requests[index];
    const auto length = request.service_time * Slowness(endpoint, now);
    auto& target = endpoints_[endpoint];
    ++target.busy;
    target.busy_long += request.is_long ? 1 : 0;
    target.busy_time += length;
    runs_.push({now + length, endpoint, index});
    const auto deadline =
        request.is_long ? trace_.long_deadline : trace_.short_deadline;
    outcome_.fates[index] = {now + length - request.at <= deadline,
                             now - request.at, 1};
  }

  [[nodiscard]] auto IsDown(std::size_t endpoint, Duration from,
                            Duration to) const -> bool {
    return std::any_of(trace_.faults.begin(), trace_.faults.end(),
                       [&](const EndpointFault& fault) {
                         const auto stops =
                             fault.kind == EndpointFaultKind::kFail ||
                             fault.kind == EndpointFaultKind::kHang;
                         return stops && fault.endpoint == endpoint &&
                                fault.from < to && from < fault.to;
                       });
  }

  [[nodiscard]] auto Slowness(std::size_t endpoint, Duration now) const -> int {
    for (const auto& fault : trace_.faults) {
      if (fault.kind == EndpointFaultKind::kCold &&
          fault.endpoint == endpoint && fault.from <= now && now < fault.to) {
        return kColdSlowness;
      }
    }
    return 1;
  }

  const RequestTrace& trace_;
  Duration max_short_wait_;
  std::vector<CentralEndpoint> endpoints_;
  std::deque<std::size_t> short_;
  std::deque<std::size_t> long_;
  std::priority_queue<CentralRun, std::vector<CentralRun>, std::greater<>>
      runs_;
  std::priority_queue<Duration, std::vector<Duration>, std::greater<>> wakes_;
  ReplayOutcome outcome_;
};

}  // namespace

auto ReplayCentral(const RequestTrace& trace, Duration max_short_wait)
    -> ReplayOutcome {
  return CentralQueue(trace, max_short_wait).Run();
}

}  // namespace hemlockwick
