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

// Time from the arrival of a request to its deadline, key memory of the
// service's contract, and time from a claim until its key may be forgotten.
inline constexpr Duration kRequestTimeout = std::chrono::seconds(3);
inline constexpr Duration kSimulationKeyMemory = std::chrono::seconds(17);
inline constexpr Duration kSimulationMemory =
    kRequestTimeout + kSimulationKeyMemory;

// Faults injected into the instances, to show that the checks detect them.
struct InjectedFault {
  // One grant counts as a grant of every instance.
  bool one_grant_suffices = false;
  // Homes grant claims even if their record of earlier ones is incomplete.
  bool incomplete_homes_grant = false;
  // Attempts are sent although MaySend forbids it.
  bool sends_without_check = false;
};

struct SimulatedMember {
  std::string name;
  std::string data_centre;
  TimePoint started;
};

enum class AttemptState {
  kAbsent,
  kWaiting,     // Waits for the verdict.
  kMayRun,      // Holds its key; not sent yet.
  kRan,         // An endpoint ran it.
  kNotRun,      // Refused as not run.
  kInProgress,  // Refused: another attempt is in progress.
  kUnknown,     // Refused: an earlier attempt may have run.
};

// One attempt of a caller to place an order.
struct SimulatedAttempt {
  std::size_t node = 0;
  IdempotencyKey key;
  AttemptState state = AttemptState::kAbsent;
  TimePoint arrived;
  TimePoint ran;
};

// Simulation of instances with views of their own, a network that delivers in
// any order, and attempts to place orders, each order under one key. Counts the
// orders that run twice within the memory of their key, and the attempts that
// are refused as not run after their order ran.
class KeySimulation {
 public:
  struct Packet {
    std::size_t from = 0;
    std::size_t to = 0;
    std::string text;
    // Attempt that the verdict in this packet decides.
    std::optional<std::uint64_t> verdict_for;

    friend auto operator<=>(const Packet&, const Packet&)
        -> std::strong_ordering = default;
  };

  KeySimulation(const std::vector<SimulatedMember>& members,
                InjectedFault fault);

  // Sets the view of one instance: the members that it considers serving.
  void SetView(std::size_t node, const std::set<std::size_t>& serving);
  auto AddNode(const SimulatedMember& member) -> std::size_t;

  // Submits an attempt at an instance and returns its number.
  auto Arrive(std::size_t node, IdempotencyKey key) -> std::size_t;
  // Sends the attempt if the instance may; an endpoint runs it at once.
  void Send(std::size_t attempt);
  // Settles a sent attempt, or one that was not sent.
  void Settle(std::size_t attempt, KeyState state);

  // Delivers a packet. With `keep`, it stays in the network as a duplicate.
  void Deliver(const Packet& packet, bool keep);
  void Drop(const Packet& packet) { network_.erase(packet); }
  // Removes messages without effect: verdicts on decided attempts, and messages
  // to dead instances.
  void DropObsolete();
  // Delivers one verdict to a running instance. Returns whether there was one.
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

  // Digest of the state. Two simulations share it only if they behave alike
  // from here on.
  [[nodiscard]] auto Fingerprint() const -> std::uint64_t;

 private:
  struct Node {
    SimulatedMember member;
    InstanceId id;
    std::shared_ptr<AtMostOnce> keys;  // Shared; copied on write.
    bool is_alive = true;
    bool is_paused = false;
    // Hash of the state of `keys`; 0 if it has to be computed again.
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
