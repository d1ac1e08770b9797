#include "AtMostOnce/key_explorer.h"

#include <algorithm>
#include <string>
#include <utility>

#include "Core/hash.h"
#include "Request/key_homes.h"

namespace hemlockwick {

namespace {

constexpr std::size_t kMaxStates = 400'000;

// Keep attempts and instances apart in a state's digest.
constexpr std::uint64_t kSettledMark = 100;
constexpr std::uint64_t kInformedMark = 200;

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
    -> WorldMember {
  return WorldMember{name, data_centre, kWorldStart - std::chrono::hours(1)};
}

auto Members() -> std::vector<WorldMember> {
  return {OldMember("first", "a"), OldMember("second", "a"),
          OldMember("claimant", "b"), OldMember("repeater", "c"),
          WorldMember{"joiner", "a", kWorldStart}};
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

KeyExplorer::KeyExplorer(FaultBudget budget, PlantedFault fault)
    : budget_(budget), fault_(fault) {}

auto KeyExplorer::Run() -> ExplorerResult {
  auto start = State{KeyWorld(Members(), fault_), budget_, true, {}, {}};
  for (const auto node : kOldView) {
    start.world.SetView(node, kOldView);
  }
  start.world.SetView(kJoiner, kNewView);
  start.informed.insert(kJoiner);
  start.world.Arrive(kClaimant, PickKey());
  Visit(start);
  while (!open_.empty() && result_.is_complete) {
    const auto state = std::move(open_.back());
    open_.pop_back();
    auto next = Expand(state);
    if (next.empty()) {
      Close(state);
    }
    for (auto& successor : next) {
      Visit(std::move(successor));
    }
  }
  return result_;
}

void KeyExplorer::Visit(State state) {
  state.world.DropIdle();
  while (state.left.has_prompt_verdicts && state.world.DeliverVerdict()) {
    state.world.DropIdle();
  }
  auto digest = state.world.Fingerprint();
  const auto add = [&digest](std::uint64_t word) {
    digest = MixWords(digest, word);
  };
  const auto& left = state.left;
  for (const auto count : {left.losses, left.copies, left.deaths, left.pauses,
                           left.steps, state.is_repeat_due ? 1 : 0}) {
    add(static_cast<std::uint64_t>(count));
  }
  for (const auto attempt : state.settled) {
    add(attempt + kSettledMark);
  }
  for (const auto node : state.informed) {
    add(node + kInformedMark);
  }
  if (!seen_.insert(digest).second) {
    return;
  }
  ++result_.states;
  result_.doubled += state.world.doubled();
  result_.false_not_run += state.world.false_not_run();
  result_.is_complete = result_.states < kMaxStates;
  if (state.world.doubled() == 0) {
    open_.push_back(std::move(state));
  }
}

void KeyExplorer::Close(const State& state) {
  const auto& attempts = state.world.attempts();
  const auto has_run = std::any_of(attempts.begin(), attempts.end(),
                                   [](const WorldAttempt& attempt) {
                                     return attempt.state == AttemptState::kRan;
                                   });
  result_.ran += has_run ? 1 : 0;
  result_.neither += has_run ? 0 : 1;
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
  if (state.is_repeat_due && state.world.IsRunning(kRepeater)) {
    auto& after = next.emplace_back(state);
    after.is_repeat_due = false;
    after.world.Arrive(kRepeater, state.world.attempts().front().key);
  }
  for (std::size_t at = 0; at < state.world.attempts().size(); ++at) {
    const auto& attempt = state.world.attempts()[at];
    if (!state.world.IsRunning(attempt.node) || state.settled.contains(at)) {
      continue;
    }
    if (attempt.state == AttemptState::kMayRun) {
      next.emplace_back(state).world.Send(at);
    }
    if (attempt.state == AttemptState::kMayRun && state.left.has_withdrawals) {
      next.emplace_back(state).world.Settle(at, KeyState::kNotRun);
    }
    if (attempt.state == AttemptState::kRan && state.left.has_endings) {
      auto& after = next.emplace_back(state);
      after.settled.insert(at);
      after.world.Settle(at, KeyState::kAnswered);
    }
  }
}

void KeyExplorer::ExpandNetwork(const State& state, std::vector<State>& next) {
  for (const auto& packet : state.world.network()) {
    if (state.world.is_paused(packet.to)) {
      continue;
    }
    next.emplace_back(state).world.Deliver(packet, false);
    if (state.left.losses > 0) {
      auto& after = next.emplace_back(state);
      --after.left.losses;
      after.world.Drop(packet);
    }
    if (state.left.copies > 0) {
      auto& after = next.emplace_back(state);
      --after.left.copies;
      after.world.Deliver(packet, true);
    }
  }
}

void KeyExplorer::ExpandFaults(const State& state, std::vector<State>& next) {
  if (state.left.deaths > 0) {
    auto& after = next.emplace_back(state);
    --after.left.deaths;
    after.world.Kill(state.left.victim);
  }
  const auto is_dead = !state.world.is_alive(kFirst);
  for (const auto node : kNewView) {
    if (is_dead && state.world.IsRunning(node) &&
        !state.informed.contains(node)) {
      auto& after = next.emplace_back(state);
      after.informed.insert(node);
      after.world.SetView(node, kNewView);
    }
  }
  if (state.left.pauses > 0) {
    auto& after = next.emplace_back(state);
    --after.left.pauses;
    after.world.Pause(kClaimant);
  }
  if (state.world.is_paused(kClaimant)) {
    next.emplace_back(state).world.Wake(kClaimant);
  }
}

void KeyExplorer::ExpandTime(const State& state, std::vector<State>& next) {
  if (state.left.steps == 0) {
    return;
  }
  auto& after = next.emplace_back(state);
  --after.left.steps;
  after.world.Advance(state.left.step);
  for (std::size_t node = 0; node < state.world.size(); ++node) {
    after.world.Tick(node);
  }
}

}  // namespace hemlockwick
