#include "Flow/answered_requests.h"

#include <algorithm>

namespace hemlockwick {

namespace {

// Answers closer together than this are recorded as one, which bounds their
// number.
constexpr Duration kMinInterval = std::chrono::milliseconds(10);

}  // namespace

void AnsweredRequests::Add(TimePoint sent_at, TimePoint now) {
  answered_time_ = AnsweredTimeAt(now);
  last_answer_ = now;
  const auto is_later = answers_.empty() || sent_at > answers_.back().sent_at;
  if (is_later &&
      (answers_.empty() || now - answers_.back().at >= kMinInterval)) {
    answers_.push_back({now, sent_at});
  }
  while (!answers_.empty() && now - answers_.front().at > kRetention) {
    answers_.pop_front();
  }
}

auto AnsweredRequests::AnsweredTimeAt(TimePoint now) const -> Duration {
  return last_answer_ ? answered_time_ + std::min(now - *last_answer_, kMaxGap)
                      : answered_time_;
}

auto AnsweredRequests::AnsweredTimeSince(TimePoint time, TimePoint now) const
    -> Duration {
  auto total = Duration(0);
  auto previous = time;
  for (const auto& answer : answers_) {
    if (answer.at > previous) {
      total += std::min(answer.at - previous, kMaxGap);
      previous = answer.at;
    }
  }
  return total + std::min(now - previous, kMaxGap);
}

auto AnsweredRequests::HasLaterThan(TimePoint time, TimePoint deadline) const
    -> bool {
  return std::ranges::any_of(answers_, [&](const Answer& answer) {
    return answer.sent_at > time && answer.at <= deadline;
  });
}

}  // namespace hemlockwick
