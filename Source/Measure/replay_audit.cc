#include "Measure/replay_audit.h"

#include <utility>

namespace hemlockwick {

ReplayAudit::ReplayAudit(const RequestTrace& trace)
    : trace_(trace), fates_(trace.requests.size()) {}

auto ReplayAudit::IdOf(std::size_t index, std::size_t repeat) const
    -> RequestId {
  return RequestId(repeat * trace_.requests.size() + index + 1);
}

auto ReplayAudit::IndexOf(RequestId id) const -> std::size_t {
  return (id.value() - 1) % trace_.requests.size();
}

auto ReplayAudit::RepeatOf(RequestId id) const -> std::size_t {
  return (id.value() - 1) / trace_.requests.size();
}

void ReplayAudit::OnRunStarted(RequestId id, std::uint32_t /*attempt*/,
                               TimePoint now) {
  auto& talk = Expect(id);
  talk.started = now;
  ++talk.runs;
  auto& fate = fates_[IndexOf(id)];
  ++fate.starts;
  const auto& request = trace_.requests[IndexOf(id)];
  if (fate.starts == 2 && !request.idempotent) {
    ++faults_.doubled;
  }
}

void ReplayAudit::OnWholeAnswer(RequestId id, std::uint32_t attempt) {
  Expect(id).answer = attempt;
}

void ReplayAudit::OnDelivered(RequestId id, std::uint32_t attempt,
                              TimePoint now) {
  auto& talk = Expect(id);
  ++talk.finals;
  if (talk.answer != attempt || attempt == 0) {
    ++faults_.cross_delivered;
    return;
  }
  const auto& request = trace_.requests[IndexOf(id)];
  const auto deadline =
      request.is_long ? trace_.long_deadline : trace_.short_deadline;
  const auto arrived = kReplayStart + request.at;
  auto& fate = fates_[IndexOf(id)];
  fate.served = talk.gone || now - arrived <= deadline;
  fate.wait = talk.started - arrived;
}

void ReplayAudit::OnRefused(RequestId id, RefusalReason reason) {
  auto& talk = Expect(id);
  ++talk.finals;
  talk.refused_not_run = IsNotRun(reason);
}

void ReplayAudit::Finish(ReplayOutcome& outcome) {
  for (const auto& [id, talk] : talks_) {
    faults_.false_not_run += talk.refused_not_run && talk.runs > 0 ? 1 : 0;
    faults_.two_finals += talk.finals > 1 ? 1 : 0;
    faults_.no_final += talk.finals == 0 && !talk.gone ? 1 : 0;
  }
  const auto late = outcome.faults.late_to_draining;
  outcome.faults = faults_;
  outcome.faults.late_to_draining = late;
  outcome.fates = std::move(fates_);
}

}  // namespace hemlockwick
