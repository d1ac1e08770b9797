#include "AtMostOnce/key_explorer.h"

#include <criterion/criterion.h>

#include <chrono>

namespace hemlockwick {
namespace {

constexpr std::size_t kFirstHome = 0;
constexpr std::size_t kFirstClaimant = 2;

void ExpectSafe(const FaultBudget& budget) {
  const auto result = KeyExplorer(budget, InjectedFault()).Run();
  cr_log_info("%zu states, ran in %zu ends, not in %zu", result.states,
              result.ran, result.none_ran);
  cr_assert(result.is_complete, "%zu states", result.states);
  cr_assert(result.doubled == 0, "%zu doubled", result.doubled);
  cr_assert(result.false_not_run == 0, "%zu false", result.false_not_run);
  cr_assert(result.ran > 0);
}

void ExpectFound(const FaultBudget& budget, const InjectedFault& fault) {
  const auto result = KeyExplorer(budget, fault).Run();
  cr_assert(result.doubled > 0, "%zu states", result.states);
}

Test(key_explorer, any_order_of_messages) {
  ExpectSafe({.steps = 1, .has_results = true, .has_withdrawals = true});
}

Test(key_explorer, two_lost_messages) {
  ExpectSafe({.losses = 2, .has_withdrawals = true});
}

Test(key_explorer, a_lost_message_and_a_timeout) {
  ExpectSafe({.losses = 1, .steps = 1, .has_prompt_verdicts = true});
}

Test(key_explorer, a_message_delivered_twice) {
  ExpectSafe({.duplicates = 1, .has_withdrawals = true});
}

Test(key_explorer, a_home_dies_and_another_joins) {
  ExpectSafe({.deaths = 1, .victim = kFirstHome, .has_prompt_verdicts = true});
}

Test(key_explorer, the_claimant_dies) {
  ExpectSafe({.deaths = 1,
              .steps = 1,
              .victim = kFirstClaimant,
              .has_prompt_verdicts = true});
}

Test(key_explorer, the_claimant_wakes_late) {
  ExpectSafe({.pauses = 1,
              .steps = 1,
              .step = std::chrono::seconds(4),
              .has_prompt_verdicts = true});
}

Test(key_explorer, detects_a_single_grant_taken_for_a_quorum) {
  ExpectFound({}, {.one_grant_suffices = true});
}

Test(key_explorer, detects_a_grant_by_an_incomplete_home) {
  ExpectFound({.deaths = 1, .victim = kFirstHome, .has_prompt_verdicts = true},
              {.incomplete_homes_grant = true});
}

// A claimant that was suspended until its key was forgotten must not send: the
// repeat arrives after the memory of the first attempt has ended, and is
// granted.
Test(key_explorer, detects_a_late_send_without_a_check) {
  const auto budget =
      FaultBudget{.pauses = 1,
                  .steps = 1,
                  .step = kSimulationMemory + std::chrono::seconds(5),
                  .has_prompt_verdicts = true};
  ExpectSafe(budget);
  ExpectFound(budget, {.sends_without_check = true});
}

}  // namespace
}  // namespace hemlockwick
