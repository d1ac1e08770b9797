#ifndef HEMLOCKWICK_TESTS_AT_MOST_ONCE_KEY_SIMULATION_H_
#define HEMLOCKWICK_TESTS_AT_MOST_ONCE_KEY_SIMULATION_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Config/fleet_config.h"
#include "Request/at_most_once.h"

namespace hemlockwick {

inline constexpr TimePoint kSimulationStart = FromUnixMillis(1'800'000'000'000);

// Deadline of each request after its arrival, and the time for which its key
// is remembered from its claim.
inline constexpr Duration kRequestTimeout = std::chrono::seconds(3);
inline constexpr Duration kSimulationKeyMemory = std::chrono::seconds(17);
inline constexpr Duration kSimulationMemory =
    kRequestTimeout + kSimulationKeyMemory;

// Faults planted into the instances, to show that the check finds them.
struct InjectedFault {
  bool one_grant_suffices = false;  // The own home's grant counts for all.
  bool incomplete_homes_grant =
      false;                         // A home grants what it cannot vouch for.
  bool sends_without_check = false;  // No question before the first byte.
};

struct SimulatedMember {
  std::string name;
  std::string data_centre;
  TimePoint started;
};

enum class AttemptState {
  kAbsent,
  kWaiting,     // For the verdict.
  kMayRun,      // Holds its key; not sent yet.
  kRan,         // An endpoint ran it.
  kNotRun,      // Refused as not run.
  kInProgress,  // Refused: another attempt is in progress.
  kUnknown,     // Refused: an earlier attempt may have run.
};

// One attempt of a caller at an order.
struct SimulatedAttempt {
  std::size_t node = 0;
  IdempotencyKey key;
  AttemptState state = AttemptState::kAbsent;
  TimePoint arrived;
  TimePoint ran;
};

// Instances with their own views, a network that delivers in any order, and
// attempts at orders. Checks that no order runs twice within its memory and
// that none is called not run after it ran.
class KeySimulation {
 public:
  struct Packet {
    std::size_t from = 0;
    std::size_t to = 0;
    std::string text;
    // The attempt that a verdict is about.
    std::optional<std::uint64_t> verdict_for;

    friend auto operator<=>(const Packet&, const Packet&)
        -> std::strong_ordering = default;
  };

  KeySimulation(const std::vector<SimulatedMember>& members,
                InjectedFault fault);

  // Gives one instance its view: the members that it takes for serving.
  void SetView(std::size_t node, const std::set<std::size_t>& serving);
  auto AddNode(const SimulatedMember& member) -> std::size_t;

  // Lets a caller's attempt arrive at an instance; returns its number.
  auto Arrive(std::size_t node, IdempotencyKey key) -> std::size_t;
  // The instance tries to send the attempt; an endpoint runs it at once.
  void Send(std::size_t attempt);
  // The instance ends a sent attempt, or one that it has not sent.
  void Settle(std::size_t attempt, KeyState state);

  // Hands a packet over; keeps it in the network when `keep` is set.
  void Deliver(const Packet& packet, bool keep);
  void Drop(const Packet& packet) { network_.erase(packet); }
  // Removes messages that no longer change anything: verdicts on attempts that
  // are decided, and those to the dead.
  void DropObsolete();
  // Delivers one verdict to an instance that runs; whether there was one.
  auto DeliverVerdict() -> bool;
  void Advance(Duration step) { now_ += step; }
  void Tick(std::size_t node);

  void Kill(std::size_t node) { nodes_[node].is_alive = false; }
  void Pause(std::size_t node) { nodes_[node].is_paused = true; }
  void Wake(std::size_t node) { nodes_[node].is_paused = false; }
  void Leave(std::size_t node);

  [[nodiscard]] auto IsRunning(std::size_t node) const -> bool {
    return nodes_[node].is_alive && !nodes_[node].is_paused;
  }
  [[nodiscard]] auto is_alive(std::size_t node) const -> bool {
    return nodes_[node].is_alive;
  }
  [[nodiscard]] auto is_paused(std::size_t node) const -> bool {
    return nodes_[node].is_paused;
  }
  [[nodiscard]] auto size() const -> std::size_t { return nodes_.size(); }
  [[nodiscard]] auto now() const -> TimePoint { return now_; }
  [[nodiscard]] auto network() const -> const std::set<Packet>& {
    return network_;
  }
  [[nodiscard]] auto attempts() const -> const std::vector<SimulatedAttempt>& {
    return attempts_;
  }
  [[nodiscard]] auto doubled() const -> std::size_t { return doubled_; }
  [[nodiscard]] auto false_not_run() const -> std::size_t {
    return false_not_run_;
  }

  // Number that two worlds share only if they behave alike from here on.
  [[nodiscard]] auto Fingerprint() const -> std::uint64_t;

 private:
  struct Node {
    SimulatedMember member;
    InstanceId id;
    std::shared_ptr<AtMostOnce> keys;  // Copied before it is changed.
    bool is_alive = true;
    bool is_paused = false;
    // Hash of the state of `keys`; 0 when it has to be made again.
    mutable std::uint64_t digest = 0;
  };

  auto MutableKeys(std::size_t node) -> AtMostOnce&;
  void GrantForAll(std::size_t node, std::size_t attempt);
  auto NodeOf(InstanceId id) const -> std::size_t;
  void ProcessActions(std::size_t node, const RequestActions& actions,
                      const std::vector<KeyVerdict>& verdicts);
  void Decide(std::size_t attempt, KeyState state);
  void CheckRun(const SimulatedAttempt& attempt);

  InjectedFault fault_;
  std::shared_ptr<const FleetConfig> config_;
  std::vector<Node> nodes_;
  std::vector<SimulatedAttempt> attempts_;
  std::set<Packet> network_;
  TimePoint now_ = kSimulationStart;
  std::size_t doubled_ = 0;
  std::size_t false_not_run_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_TESTS_AT_MOST_ONCE_KEY_SIMULATION_H_
