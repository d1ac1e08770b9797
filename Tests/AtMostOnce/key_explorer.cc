#include "AtMostOnce/key_explorer.h"

#include <algorithm>
#include <string>
#include <utility>

#include "Core/hash.h"
#include "Request/key_homes.h"

namespace hemlockwick {

namespace {

constexpr std::size_t kMaxStates = 400'000;

// Offsets that keep attempts and instances distinct in the digest of a state.
constexpr std::uint64_t kSettledMark = 100;
constexpr std::uint64_t kNewViewMark = 200;

// The instances: two in data centre a, one in b and in c, which are also the
// claimants, and one that joins in a when the first one dies.
enum NodeNumber : std::size_t {
  kFirst,
  kSecond,
  kClaimant,
  kRepeater,
  kJoiner
};

const std::set<std::size_t> kOldView = {kFirst, kSecond, kClaimant, kRepeater};
const std::set<std::size_t> kNewView = {kSecond, kClaimant, kRepeater, kJoiner};

auto OldMember(const std::string& name, const std::string& data_centre)
    -> SimulatedMember {
  return SimulatedMember{name, data_centre,
                         kSimulationStart - std::chrono::hours(1)};
}

auto Members() -> std::vector<SimulatedMember> {
  return {OldMember("first", "a"), OldMember("second", "a"),
          OldMember("claimant", "b"), OldMember("repeater", "c"),
          SimulatedMember{"joiner", "a", kSimulationStart}};
}

// A key whose homes in a are, by rank, the joiner, the first, the second.
auto PickKey() -> IdempotencyKey {
  const auto rank = [](IdempotencyKey key, const char* name) {
    return KeyRank(key, IdFromName<InstanceId>(name));
  };
  auto key = IdempotencyKey(1);
  while (rank(key, "joiner") < rank(key, "first") ||
         rank(key, "first") < rank(key, "second")) {
    key = IdempotencyKey(key.value() + 1);
  }
  return key;
}

}  // namespace

KeyExplorer::KeyExplorer(FaultBudget budget, InjectedFault fault)
    : budget_(budget), fault_(fault) {}

auto KeyExplorer::Run() -> ExplorerResult {
  auto start = State{KeySimulation(Members(), fault_), budget_, true, {}, {}};
  for (const auto node : kOldView) {
    start.simulation.SetView(node, kOldView);
  }
  start.simulation.SetView(kJoiner, kNewView);
  start.with_new_view.insert(kJoiner);
  start.simulation.Arrive(kClaimant, PickKey());
  Visit(start);
  while (!open_.empty() && result_.is_complete) {
    const auto state = std::move(open_.back());
    open_.pop_back();
    auto next = Expand(state);
    if (next.empty()) {
      RecordFinalState(state);
    }
    for (auto& successor : next) {
      Visit(std::move(successor));
    }
  }
  return result_;
}

void KeyExplorer::Visit(State state) {
  state.simulation.DropObsolete();
  while (state.remaining.has_prompt_verdicts &&
         state.simulation.DeliverVerdict()) {
    state.simulation.DropObsolete();
  }
  auto digest = state.simulation.Fingerprint();
  const auto add = [&digest](std::uint64_t word) {
    digest = MixWords(digest, word);
  };
  const auto& remaining = state.remaining;
  for (const auto count :
       {remaining.losses, remaining.duplicates, remaining.deaths,
        remaining.pauses, remaining.steps, state.is_repeat_due ? 1 : 0}) {
    add(static_cast<std::uint64_t>(count));
  }
  for (const auto attempt : state.settled) {
    add(attempt + kSettledMark);
  }
  for (const auto node : state.with_new_view) {
    add(node + kNewViewMark);
  }
  if (!seen_.insert(digest).second) {
    return;
  }
  ++result_.states;
  result_.doubled += state.simulation.doubled();
  result_.false_not_run += state.simulation.false_not_run();
  result_.is_complete = result_.states < kMaxStates;
  if (state.simulation.doubled() == 0) {
    open_.push_back(std::move(state));
  }
}

void KeyExplorer::RecordFinalState(const State& state) {
  const auto& attempts = state.simulation.attempts();
  const auto has_run = std::any_of(attempts.begin(), attempts.end(),
                                   [](const SimulatedAttempt& attempt) {
                                     return attempt.state == AttemptState::kRan;
                                   });
  result_.ran += has_run ? 1 : 0;
  result_.none_ran += has_run ? 0 : 1;
}

auto KeyExplorer::Expand(const State& state) const -> std::vector<State> {
  auto next = std::vector<State>();
  ExpandAttempts(state, next);
  ExpandNetwork(state, next);
  ExpandFaults(state, next);
  ExpandTime(state, next);
  return next;
}

void KeyExplorer::ExpandAttempts(const State& state, std::vector<State>& next) {
  if (state.is_repeat_due && state.simulation.IsRunning(kRepeater)) {
    auto& after = next.emplace_back(state);
    after.is_repeat_due = false;
    after.simulation.Arrive(kRepeater, state.simulation.attempts().front().key);
  }
  for (std::size_t at = 0; at < state.simulation.attempts().size(); ++at) {
    const auto& attempt = state.simulation.attempts()[at];
    if (!state.simulation.IsRunning(attempt.node) ||
        state.settled.contains(at)) {
      continue;
    }
    if (attempt.state == AttemptState::kMayRun) {
      next.emplace_back(state).simulation.Send(at);
    }
    if (attempt.state == AttemptState::kMayRun &&
        state.remaining.has_withdrawals) {
      next.emplace_back(state).simulation.Settle(at, KeyState::kNotRun);
    }
    if (attempt.state == AttemptState::kRan && state.remaining.has_results) {
      auto& after = next.emplace_back(state);
      after.settled.insert(at);
      after.simulation.Settle(at, KeyState::kAnswered);
    }
  }
}

void KeyExplorer::ExpandNetwork(const State& state, std::vector<State>& next) {
  for (const auto& packet : state.simulation.network()) {
    if (state.simulation.is_paused(packet.to)) {
      continue;
    }
    next.emplace_back(state).simulation.Deliver(packet, false);
    if (state.remaining.losses > 0) {
      auto& after = next.emplace_back(state);
      --after.remaining.losses;
      after.simulation.Drop(packet);
    }
    if (state.remaining.duplicates > 0) {
      auto& after = next.emplace_back(state);
      --after.remaining.duplicates;
      after.simulation.Deliver(packet, true);
    }
  }
}

void KeyExplorer::ExpandFaults(const State& state, std::vector<State>& next) {
  if (state.remaining.deaths > 0) {
    auto& after = next.emplace_back(state);
    --after.remaining.deaths;
    after.simulation.Kill(state.remaining.victim);
  }
  const auto is_dead = !state.simulation.is_alive(kFirst);
  for (const auto node : kNewView) {
    if (is_dead && state.simulation.IsRunning(node) &&
        !state.with_new_view.contains(node)) {
      auto& after = next.emplace_back(state);
      after.with_new_view.insert(node);
      after.simulation.SetView(node, kNewView);
    }
  }
  if (state.remaining.pauses > 0) {
    auto& after = next.emplace_back(state);
    --after.remaining.pauses;
    after.simulation.Pause(kClaimant);
  }
  if (state.simulation.is_paused(kClaimant)) {
    next.emplace_back(state).simulation.Wake(kClaimant);
  }
}

void KeyExplorer::ExpandTime(const State& state, std::vector<State>& next) {
  if (state.remaining.steps == 0) {
    return;
  }
  auto& after = next.emplace_back(state);
  --after.remaining.steps;
  after.simulation.Advance(state.remaining.step);
  for (std::size_t node = 0; node < state.simulation.size(); ++node) {
    after.simulation.Tick(node);
  }
}

}  // namespace hemlockwick
