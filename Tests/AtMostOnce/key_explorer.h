#ifndef HEMLOCKWICK_TESTS_AT_MOST_ONCE_KEY_EXPLORER_H_
#define HEMLOCKWICK_TESTS_AT_MOST_ONCE_KEY_EXPLORER_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_set>
#include <vector>

#include "AtMostOnce/key_simulation.h"

namespace hemlockwick {

// Faults that may happen, each at any point, in one exploration.
struct FaultBudget {
  int losses = 0;      // Messages that are lost.
  int duplicates = 0;  // Messages that are delivered twice.
  int deaths = 0;      // Deaths of `victim`.
  int pauses = 0;      // Suspensions of the first claimant.
  int steps = 0;       // Advances of the clock by `step`.
  Duration step = std::chrono::milliseconds(1100);
  std::size_t victim = 0;
  bool has_results = false;      // Results are reported to the homes.
  bool has_withdrawals = false;  // Attempts are refused before they are sent.
  // Verdicts arrive at once; claims may take any time.
  bool has_prompt_verdicts = false;
};

struct ExplorerResult {
  std::size_t states = 0;
  std::size_t doubled = 0;
  std::size_t false_not_run = 0;
  std::size_t ran = 0;       // Final states in which an attempt ran.
  std::size_t none_ran = 0;  // Final states in which none ran.
  bool is_complete = true;   // Every state was reached.
};

// Model checker for at-most-once execution. Explores every order of the events
// of two attempts to place one order under one key: arrivals, deliveries,
// sends, results, view changes and the faults of the budget.
class KeyExplorer {
 public:
  KeyExplorer(FaultBudget budget, InjectedFault fault);

  auto Run() -> ExplorerResult;

 private:
  struct State {
    KeySimulation simulation;
    FaultBudget remaining;
    bool is_repeat_due = true;
    std::set<std::size_t> settled;  // Attempts whose result was reported.
    std::set<std::size_t>
        with_new_view;  // Instances that have the second view.
  };

  void Visit(State state);
  auto Expand(const State& state) const -> std::vector<State>;
  static void ExpandAttempts(const State& state, std::vector<State>& next);
  static void ExpandNetwork(const State& state, std::vector<State>& next);
  static void ExpandFaults(const State& state, std::vector<State>& next);
  static void ExpandTime(const State& state, std::vector<State>& next);
  void RecordFinalState(const State& state);

  FaultBudget budget_;
  InjectedFault fault_;
  ExplorerResult result_;
  std::unordered_set<std::uint64_t> seen_;
  std::vector<State> open_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_TESTS_AT_MOST_ONCE_KEY_EXPLORER_H_
