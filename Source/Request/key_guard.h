#ifndef HEMLOCKWICK_REQUEST_KEY_GUARD_H_
#define HEMLOCKWICK_REQUEST_KEY_GUARD_H_

#include <concepts>
#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "Config/fleet_config.h"
#include "Core/ids.h"
#include "Core/time.h"
#include "Fleet/member_view.h"
#include "Request/request_action.h"
#include "Request/request_message.h"

namespace hemlockwick {

// Claims Idempotency-Keys for the requests of this instance, and stores the
// claims of the keys that this instance is a home of.
//   Claim      verdict if known at once; otherwise it comes from OnMessage or
//              OnTick
//   MaySend    whether the request still holds its key
//   Settle     records how the holder of a key ended, or that it was abandoned
//              before its verdict
template <typename K>
concept KeyGuard = requires(K keys, const K& const_keys,
                            const RequestArrival& arrival,
                            const std::shared_ptr<const FleetConfig>& config,
                            const MemberView& members,
                            const KeyVerdict& outcome, InstanceId from,
                            const RequestMessage& message,
                            RequestActions& actions, TimePoint now) {
  {
    keys.Claim(arrival, actions, now)
    } -> std::same_as<std::optional<KeyState>>;
  { const_keys.MaySend(arrival.request, now) } -> std::same_as<bool>;
  keys.Settle(outcome, actions, now);
  {
    keys.OnMessage(from, message, actions, now)
    } -> std::same_as<std::vector<KeyVerdict>>;
  { keys.OnTick(actions, now) } -> std::same_as<std::vector<KeyVerdict>>;
  keys.OnConfig(config, now);
  keys.OnMembers(members, actions, now);
  keys.BeginLeave(actions, now);
  { const_keys.NextTick() } -> std::same_as<TimePoint>;
  { const_keys.size() } -> std::same_as<std::size_t>;
};

// Grants every claim; for measurements without repeated keys.
class GrantAllKeys {
 public:
  auto Claim(const RequestArrival& /*arrival*/, RequestActions& /*actions*/,
             TimePoint /*now*/) -> std::optional<KeyState> {
    return KeyState::kFree;
  }
  [[nodiscard]] auto MaySend(RequestId /*request*/, TimePoint /*now*/) const
      -> bool {
    return true;
  }
  void Settle(const KeyVerdict& /*outcome*/, RequestActions& /*actions*/,
              TimePoint /*now*/) {}
  auto OnMessage(InstanceId /*from*/, const RequestMessage& /*message*/,
                 RequestActions& /*actions*/, TimePoint /*now*/)
      -> std::vector<KeyVerdict> {
    return {};
  }
  auto OnTick(RequestActions& /*actions*/, TimePoint /*now*/)
      -> std::vector<KeyVerdict> {
    return {};
  }
  void OnConfig(const std::shared_ptr<const FleetConfig>& /*config*/,
                TimePoint /*now*/) {}
  void OnMembers(const MemberView& /*members*/, RequestActions& /*actions*/,
                 TimePoint /*now*/) {}
  void BeginLeave(RequestActions& /*actions*/, TimePoint /*now*/) {}
  [[nodiscard]] auto NextTick() const -> TimePoint { return TimePoint::max(); }
  [[nodiscard]] auto size() const -> std::size_t { return 0; }
};

static_assert(KeyGuard<GrantAllKeys>);

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_KEY_GUARD_H_
