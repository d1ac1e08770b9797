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

// Entries in one message of a hand-over.
inline constexpr std::size_t kHandOverBatchSize = 500;

struct AtMostOnceStats {
  std::size_t keys = 0;                   // Remembered at this home.
  std::uint64_t refused_at_capacity = 0;  // Claims that found no room here.
  std::uint64_t abstained = 0;  // Claims that could not be vouched for.
  std::uint64_t undecided = 0;  // Own claims ended as unknown.
};

// At-most-once execution of keyed requests at one instance, as claimant and as
// home. Messages to the instance itself are handled within.
class AtMostOnce {
 public:
  // `knows_since` is the start of the process, or TimePoint() when no instance
  // can have run a request before: the first start of a deployment.
  AtMostOnce(InstanceId self, std::size_t max_keys, TimePoint knows_since);

  void OnConfig(const std::shared_ptr<const FleetConfig>& config,
                TimePoint now);
  void OnMembers(const MemberView& members, RequestActions& actions,
                 TimePoint now);

  // Claims the key of a request. Returns the verdict, or nothing when it
  // follows from OnMessage or OnTick, at the latest at the deadline: kFree to
  // proceed, kRefused for not run, kRunning when another attempt is in
  // progress, kUnknown when an earlier one may have run.
  auto Claim(const RequestArrival& arrival, RequestActions& actions,
             TimePoint now) -> std::optional<KeyState>;

  // Whether the request may be sent; to be asked right before the first byte
  // leaves.
  [[nodiscard]] auto MaySend(RequestId request, TimePoint now) const -> bool;

  // How a request ended: kNotRun, kAnswered or kUnknown. Also to be called
  // with kNotRun when the request is given up before its verdict.
  void Settle(const KeyVerdict& outcome, RequestActions& actions,
              TimePoint now);

  // Returns the verdicts that the message decides.
  auto OnMessage(InstanceId from, const RequestMessage& message,
                 RequestActions& actions, TimePoint now)
      -> std::vector<KeyVerdict>;

  auto OnTick(RequestActions& actions, TimePoint now)
      -> std::vector<KeyVerdict>;
  [[nodiscard]] auto NextTick() const -> TimePoint;

  // Stops granting and hands the keys over to the next homes.
  void BeginLeave(RequestActions& actions, TimePoint now);

  [[nodiscard]] auto size() const -> std::size_t { return table_.size(); }
  [[nodiscard]] auto stats() const -> AtMostOnceStats;

  // Text of the state, for diagnosis; equal for equal states.
  [[nodiscard]] auto Describe() const -> std::string;

 private:
  // Parts of a hand-over that have arrived.
  struct IncomingHandOver {
    std::set<std::uint32_t> parts;
    bool had_capacity = true;
  };

  // Sends messages to others and handles those to this instance.
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
