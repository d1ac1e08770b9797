#include "Measure/endpoint_fake.h"

#include <algorithm>
#include <utility>

namespace hemlockwick {

auto EndpointFake::Offer(EndpointWork work, TimePoint now) -> OfferResult {
  if (!is_up_) {
    return OfferResult::kRefused;
  }
  if (running_.size() < slots_) {
    work.started = now;
    running_.push_back(work);
    return OfferResult::kStarted;
  }
  if (queue_.size() >= queue_limit_) {
    return OfferResult::kShed;
  }
  queue_.push_back(work);
  return OfferResult::kQueued;
}

auto EndpointFake::Finish(RequestId request, std::uint32_t attempt,
                          TimePoint now) -> std::optional<EndpointWork> {
  const auto found = std::find_if(
      running_.begin(), running_.end(),
      [&](const EndpointWork& work) { return work.IsSame(request, attempt); });
  if (found == running_.end()) {
    return std::nullopt;
  }
  const auto work = *found;
  busy_time_ += now - work.started;
  running_.erase(found);
  return work;
}

auto EndpointFake::StartNext(TimePoint now) -> std::optional<EndpointWork> {
  if (queue_.empty() || running_.size() >= slots_) {
    return std::nullopt;
  }
  auto work = queue_.front();
  queue_.pop_front();
  work.started = now;
  running_.push_back(work);
  return work;
}

auto EndpointFake::CancelQueued(RequestId request, std::uint32_t attempt)
    -> bool {
  return std::erase_if(queue_, [&](const EndpointWork& work) {
           return work.IsSame(request, attempt);
         }) > 0;
}

auto EndpointFake::Crash(TimePoint now) -> std::vector<EndpointWork> {
  is_up_ = false;
  hangs_ = false;
  for (const auto& work : running_) {
    busy_time_ += now - work.started;
  }
  auto lost = std::exchange(running_, {});
  lost.insert(lost.end(), queue_.begin(), queue_.end());
  queue_.clear();
  return lost;
}

auto EndpointFake::Load(TimePoint now) const -> EndpointLoad {
  if (lies_) {
    return {id_, 0, 0, now};
  }
  const auto busy = static_cast<double>(running_.size());
  return {id_, busy / static_cast<double>(slots_),
          static_cast<std::uint32_t>(queue_.size()), now};
}

}  // namespace hemlockwick
