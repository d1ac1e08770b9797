#ifndef HEMLOCKWICK_REQUEST_AT_MOST_ONCE_H_
#define HEMLOCKWICK_REQUEST_AT_MOST_ONCE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Config/fleet_config.h"
#include "Core/ids.h"
#include "Core/time.h"
#include "Fleet/member_view.h"
#include "Request/key_claims.h"
#include "Request/key_guard.h"
#include "Request/key_home_completeness.h"
#include "Request/key_table.h"
#include "Request/request_action.h"
#include "Request/request_message.h"
#include "Request/request_types.h"

namespace hemlockwick {

// Largest number of entries in one hand-over message.
inline constexpr std::size_t kHandOverBatchSize = 500;

struct AtMostOnceStats {
  // Keys stored at this home.
  std::size_t keys = 0;
  // Claims that this home did not record because its table was full.
  std::uint64_t refused_at_capacity = 0;
  // Claims that this home answered without knowing all earlier claims.
  std::uint64_t abstained = 0;
  // Own claims that ended as kUnknown.
  std::uint64_t undecided = 0;
};

// At-most-once execution of requests with an Idempotency-Key at one instance.
// The instance is the claimant for its own requests and a home, which stores
// claims, for keys of all instances. Messages to the instance itself are
// handled internally.
class AtMostOnce {
 public:
  // `knows_since` is the time since which this instance has recorded every
  // claim of its keys: the start of the process, or TimePoint() on the first
  // start of a deployment, when no instance can have run a request before.
  AtMostOnce(InstanceId self, std::size_t max_keys, TimePoint knows_since);

  void OnConfig(const std::shared_ptr<const FleetConfig>& config,
                TimePoint now);
  void OnMembers(const MemberView& members, RequestActions& actions,
                 TimePoint now);

  // Claims the key of a request. Returns the verdict, or nothing if OnMessage
  // or OnTick returns it later, at the latest at the deadline. kFree: proceed.
  // kRefused: not run. kRunning: another attempt is in progress. kUnknown: an
  // earlier attempt may have run.
  auto Claim(const RequestArrival& arrival, RequestActions& actions,
             TimePoint now) -> std::optional<KeyState>;

  // Whether the request may be sent. Call it immediately before the first byte
  // is sent.
  [[nodiscard]] auto MaySend(RequestId request, TimePoint now) const -> bool;

  // Records how a request ended: kNotRun, kAnswered or kUnknown. Call it with
  // kNotRun also when the request is abandoned before its verdict.
  void Settle(const KeyVerdict& outcome, RequestActions& actions,
              TimePoint now);

  // Handles a message from another instance and returns the verdicts that it
  // decides.
  auto OnMessage(InstanceId from, const RequestMessage& message,
                 RequestActions& actions, TimePoint now)
      -> std::vector<KeyVerdict>;

  // Expires keys, resends messages and returns the verdicts of claims that
  // timed out.
  auto OnTick(RequestActions& actions, TimePoint now)
      -> std::vector<KeyVerdict>;
  [[nodiscard]] auto NextTick() const -> TimePoint;

  // Stops answering claims and hands the keys over to their next homes.
  void BeginLeave(RequestActions& actions, TimePoint now);

  [[nodiscard]] auto size() const -> std::size_t { return table_.size(); }
  [[nodiscard]] auto stats() const -> AtMostOnceStats;

  // Text of the state for diagnostics. Equal states have equal texts.
  [[nodiscard]] auto Describe() const -> std::string;

 private:
  // A hand-over of which some messages have arrived.
  struct IncomingHandOver {
    std::set<std::uint32_t> parts;
    bool had_capacity = true;
  };

  // Sends messages to other instances and handles those to this instance.
  void ProcessActions(KeyActions key_actions, RequestActions& actions,
                      TimePoint now);
  void Handle(InstanceId from, const RequestMessage& message, TimePoint now,
              KeyActions& key_actions);
  void Send(InstanceId to, const RequestMessage& message,
            RequestActions& actions) const;
  auto AnswerClaim(InstanceId from, const KeyClaim& claim, TimePoint now)
      -> std::optional<KeyState>;
  void OnHandOver(InstanceId from, const KeyHandOver& message, TimePoint now);
  void HandOver(InstanceId to, const std::vector<KeyHandOver::Entry>& entries,
                RequestActions& actions) const;
  // Whether `candidate` may become a home of the key when this instance has
  // left.
  auto IsNextHome(IdempotencyKey key, InstanceId candidate,
                  const MemberView& others, TimePoint now) const -> bool;
  auto TakeDecisions() -> std::vector<KeyVerdict>;

  InstanceId self_;
  std::shared_ptr<const FleetConfig> config_;
  MemberView view_;
  KeyTable table_;
  KeyHomeCompleteness completeness_;
  KeyClaims claims_;
  std::vector<KeyVerdict> decisions_;
  std::map<InstanceId, IncomingHandOver> incoming_;
  bool is_leaving_ = false;
  AtMostOnceStats stats_;
};

static_assert(KeyGuard<AtMostOnce>);

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_AT_MOST_ONCE_H_
