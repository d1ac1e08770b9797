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

// A claim that no majority has granted for this long is given up.
inline constexpr Duration kClaimTimeout = std::chrono::seconds(1);

// Interval at which an unanswered claim is sent again.
inline constexpr Duration kClaimResendInterval = std::chrono::milliseconds(100);

// How often a settlement is sent, and at which interval: it is not
// acknowledged, and a lost one makes the home answer kUnknown.
inline constexpr int kSettlementSends = 3;
inline constexpr Duration kSettlementResendInterval =
    std::chrono::milliseconds(300);

// A message about a key to a home, which may be the sender itself.
struct KeyMessage {
  InstanceId to;
  RequestMessage message;
};

// What a call of KeyClaims results in.
struct KeyActions {
  template <typename Message>
  void Send(InstanceId to, const Message& message) {
    auto& added = messages.emplace_back();
    added.to = to;
    added.message = message;
  }

  std::vector<KeyMessage> messages;
  // Claims that are decided: kFree to proceed, kRefused for not run, kRunning
  // for in progress, kUnknown for an unknown outcome.
  std::vector<KeyVerdict> decisions;
};

// What a request needs in order to claim its key.
struct KeyRequest {
  RequestId request;
  IdempotencyKey key;
  TimePoint deadline;
  Duration memory{0};
  std::vector<DataCentreId> data_centres;
};

// The claimant's side: claims keys at their homes before their requests are
// dispatched, and tells the homes how these ended.
class KeyClaims {
 public:
  // Sends the claim. The decision follows before the request's deadline, here
  // or from another call.
  void Begin(const KeyRequest& request, const MemberView& view, TimePoint now,
             KeyActions& actions);

  void OnVerdict(InstanceId from, const KeyVerdict& verdict, TimePoint now,
                 KeyActions& actions);

  // Claims at the homes that the new view adds, while a claim is undecided.
  void OnMembers(const MemberView& view, TimePoint now, KeyActions& actions);

  // Sends claims and settlements again and gives up claims out of time.
  void OnTick(TimePoint now, KeyActions& actions);
  [[nodiscard]] auto NextTick() const -> TimePoint;

  // Whether the request holds its key and its deadline has not passed.
  [[nodiscard]] auto MaySend(RequestId request, TimePoint now) const -> bool;

  // Tells the homes how the request ended: kNotRun, kAnswered or kUnknown.
  // Also ends a claim that is still undecided.
  void Settle(RequestId request, KeyState state, const MemberView& view,
              TimePoint now, KeyActions& actions);

  // Text of the state, for diagnosis; equal for equal states.
  [[nodiscard]] auto Describe() const -> std::string;

  // Claims that are undecided or held.
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
    std::vector<InstanceId> contacted;  // Every home that may have noted it.
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
  // Decides the claim if its answers suffice, or if `is_final`.
  void Decide(RequestId request, bool is_final, TimePoint now,
              KeyActions& actions);
  void End(RequestId request, KeyState state, TimePoint now,
           KeyActions& actions);

  std::map<RequestId, Claim> claims_;
  std::vector<Settlement> settlements_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_KEY_CLAIMS_H_
