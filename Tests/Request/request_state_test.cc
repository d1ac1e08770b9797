#include "Request/request_state.h"

#include <criterion/criterion.h>

#include <array>
#include <cstdint>

namespace hemlockwick {
namespace {

constexpr std::array<AttemptOutcome, 5> kOutcomes = {
    AttemptOutcome::kAnswered, AttemptOutcome::kShed, AttemptOutcome::kNotSent,
    AttemptOutcome::kLost, AttemptOutcome::kCancelled};

// What an observer outside the state machine knows.
struct ReferenceModel {
  bool may_have_run = false;
  bool sent = false;
  std::uint32_t sends_after_possible_run = 0;
};

// Explores every sequence of up to `depth` events and checks that RequestState
// keeps its guarantees.
class Explorer {
 public:
  explicit Explorer(bool idempotent) : idempotent_(idempotent) {}

  void Explore(RequestState state, ReferenceModel model, int depth) {
    ++visited_;
    Check(state, model);
    if (depth == 0 || state.IsFinal()) {
      return;
    }
    auto next = state;
    if (next.Dispatch() != 0) {
      Explore(next, model, depth - 1);
    }
    next = state;
    if (next.Withdraw(state.attempt())) {
      cr_assert_not(model.sent, "withdrew an attempt that was sent");
      Explore(next, model, depth - 1);
    }
    next = state;
    if (next.ConfirmSend(state.attempt())) {
      auto sent = model;
      sent.sent = true;
      sent.sends_after_possible_run += model.may_have_run ? 1 : 0;
      Explore(next, sent, depth - 1);
    }
    for (const auto outcome : kOutcomes) {
      ExploreResult(state, model, outcome, depth);
    }
  }

  [[nodiscard]] auto visited() const -> std::size_t { return visited_; }

 private:
  void ExploreResult(RequestState state, ReferenceModel model,
                     AttemptOutcome outcome, int depth) {
    // The result of any other attempt changes nothing.
    auto stale = state;
    cr_assert(stale.OnResult(state.attempt() + 1, outcome) ==
              AttemptDecision::kStale);
    cr_assert(stale.phase() == state.phase());
    const auto decision = state.OnResult(state.attempt(), outcome);
    if (decision == AttemptDecision::kStale) {
      return;
    }
    model.sent = false;
    model.may_have_run |= outcome == AttemptOutcome::kLost;
    cr_assert_eq(decision == AttemptDecision::kDeliver,
                 outcome == AttemptOutcome::kAnswered);
    if (model.may_have_run && !idempotent_) {
      cr_assert(state.phase() == RequestPhase::kUnknown);
    }
    Explore(state, model, depth - 1);
  }

  void Check(RequestState state, const ReferenceModel& model) const {
    if (!idempotent_) {
      cr_assert_eq(model.sends_after_possible_run, 0);
    }
    if (state.IsFinal()) {
      return;
    }
    const auto reported = state.Refuse(RefusalReason::kDeadline);
    cr_assert_eq(IsNotRun(reported), !model.may_have_run && !model.sent);
    cr_assert(state.IsFinal());
    cr_assert_eq(state.Dispatch(), 0, "dispatched after its final answer");
  }

  bool idempotent_;
  std::size_t visited_ = 0;
};

Test(request_state, keeps_its_guarantees_in_every_sequence) {
  constexpr int kDepth = 9;
  for (const auto idempotent : {false, true}) {
    auto explorer = Explorer(idempotent);
    explorer.Explore(RequestState(idempotent, false), ReferenceModel(), kDepth);
    cr_assert_gt(explorer.visited(), 1000);
  }
}

Test(request_state, is_not_dispatched_before_its_key_is_held) {
  auto state = RequestState(false, true);
  cr_assert_eq(state.Dispatch(), 0);
  cr_assert(state.OnClaimGranted());
  cr_assert_not(state.OnClaimGranted());
  cr_assert_eq(state.Dispatch(), 1);
}

}  // namespace
}  // namespace hemlockwick
