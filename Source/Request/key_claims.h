#ifndef HEMLOCKWICK_REQUEST_KEY_CLAIMS_H_
#define HEMLOCKWICK_REQUEST_KEY_CLAIMS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Fleet/member_view.h"
#include "Request/key_homes.h"
#include "Request/request_message.h"

namespace hemlockwick {

// A claim that a majority has not granted within this time ends.
inline constexpr Duration kClaimTimeout = std::chrono::seconds(1);

// Interval at which an unanswered claim is sent again.
inline constexpr Duration kClaimResendInterval = std::chrono::milliseconds(100);

// Number of times that a settlement is sent, and the interval. Settlements are
// not acknowledged, and a home that receives none answers kUnknown once the
// deadline of the claim has passed.
inline constexpr int kSettlementSends = 3;
inline constexpr Duration kSettlementResendInterval =
    std::chrono::milliseconds(300);

// A message about a key to a home, which may be the sender itself.
struct KeyMessage {
  InstanceId to;
  RequestMessage message;
};

// Messages to send and decisions that result from a call of KeyClaims.
struct KeyActions {
  template <typename Message>
  void Send(InstanceId to, const Message& message) {
    auto& added = messages.emplace_back();
    added.to = to;
    added.message = message;
  }

  std::vector<KeyMessage> messages;
  // Decided claims. kFree: proceed. kRefused: not run. kRunning: another
  // attempt is in progress. kUnknown: an earlier attempt may have run.
  std::vector<KeyVerdict> decisions;
};

// Properties of a request that its claim needs.
struct KeyRequest {
  RequestId request;
  IdempotencyKey key;
  TimePoint deadline;
  Duration memory{0};
  std::vector<DataCentreId> data_centres;
};

// Claimant's side of at-most-once execution: claims keys at their homes before
// their requests are dispatched, and tells the homes how the requests ended.
class KeyClaims {
 public:
  // Sends the claim. It is decided by the request's deadline, in this or a
  // later call.
  void Begin(const KeyRequest& request, const MemberView& view, TimePoint now,
             KeyActions& actions);

  // Records a home's answer and decides the claim if the answers suffice.
  void OnVerdict(InstanceId from, const KeyVerdict& verdict, TimePoint now,
                 KeyActions& actions);

  // Sends undecided claims to the homes that the new view adds.
  void OnMembers(const MemberView& view, TimePoint now, KeyActions& actions);

  // Resends claims and settlements, and ends claims that have timed out.
  void OnTick(TimePoint now, KeyActions& actions);
  [[nodiscard]] auto NextTick() const -> TimePoint;

  // Whether the request holds its key and its deadline has not passed.
  [[nodiscard]] auto MaySend(RequestId request, TimePoint now) const -> bool;

  // Tells the homes how the request ended: kNotRun, kAnswered or kUnknown. Also
  // ends a claim that is still undecided.
  void Settle(RequestId request, KeyState state, const MemberView& view,
              TimePoint now, KeyActions& actions);

  // Text of the state for diagnostics. Equal states have equal texts.
  [[nodiscard]] auto Describe() const -> std::string;

  // Number of claims that are undecided or held.
  [[nodiscard]] auto size() const -> std::size_t { return claims_.size(); }

 private:
  struct Home {
    InstanceId instance;
    bool has_answered = false;
    KeyState state = KeyState::kAbstained;
  };
  using Group = std::vector<Home>;
  struct Claim {
    KeyRequest request;
    std::vector<Group> groups;
    std::size_t quorum = 1;
    std::vector<InstanceId> contacted;  // Homes that may have recorded it.
    bool is_held = false;
    TimePoint next_send;
    TimePoint times_out;
  };
  struct Settlement {
    KeySettled message;
    std::vector<InstanceId> homes;
    int sends_left = kSettlementSends;
    TimePoint next_send;
  };

  static void UpdateHomes(const KeyHomeSet& homes, Claim& claim);
  static void SendClaim(Claim& claim, TimePoint now, KeyActions& actions);
  static void SendSettlement(Settlement& settlement, TimePoint now,
                             KeyActions& actions);
  // Decides the claim if its answers suffice or `is_final` is set.
  void Decide(RequestId request, bool is_final, TimePoint now,
              KeyActions& actions);
  void End(RequestId request, KeyState state, TimePoint now,
           KeyActions& actions);

  std::map<RequestId, Claim> claims_;
  std::vector<Settlement> settlements_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_KEY_CLAIMS_H_
