#ifndef HEMLOCKWICK_REQUEST_KEY_HOME_COMPLETENESS_H_
#define HEMLOCKWICK_REQUEST_KEY_HOME_COMPLETENESS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Fleet/member_view.h"
#include "Request/key_homes.h"

namespace hemlockwick {

// Time for which a member that is gone counts: no memory of a key is longer.
inline constexpr Duration kDepartureRetention = std::chrono::hours(49);

// Decides at a home whether it would know of every earlier claim of a key.
class KeyHomeCompleteness {
 public:
  KeyHomeCompleteness(InstanceId self, TimePoint knows_since);

  void OnMembers(const MemberView& view, TimePoint now);

  // Restarts the memory of this home when it was suspended for so long that
  // others may have acted for it. To be called before any message or tick is
  // handled.
  void DetectSuspension(TimePoint now);

  // The member has handed over all keys that fall to this home when it leaves;
  // these are complete since `knows_since`.
  void OnHandOver(InstanceId from, TimePoint knows_since, TimePoint now);

  // Whether this instance is the key's home in its data centre and knows all
  // claims whose memory has not ended.
  [[nodiscard]] auto KnowsAllClaims(IdempotencyKey key, Duration memory,
                                    TimePoint now) const -> bool;

  // Text of the state, for diagnosis; equal for equal states.
  [[nodiscard]] auto Describe() const -> std::string;

  // When DetectSuspension was called last; the epoch before the first call.
  [[nodiscard]] auto last_call() const -> TimePoint {
    return last_call_.value_or(TimePoint());
  }

  // Since when the keys of this home are complete, for a hand-over.
  [[nodiscard]] auto KnowsSince() const -> TimePoint;

 private:
  // A member of this data centre that serves no more.
  struct Departure {
    TimePoint started;
    TimePoint seen;
  };

  struct HandOver {
    TimePoint knows_since;
    TimePoint arrived;
  };

  // A member other than this one that was, or would be, a settled home.
  struct OtherHome {
    std::uint64_t rank = 0;
    bool is_handed_over = false;  // Its keys were handed over to this home.
  };

  auto IsLocalPeer(const Member& member) const -> bool;
  void RecordReturns(const std::vector<Member>& serving, TimePoint now);
  void RecordDepartures(const std::vector<Member>& serving, TimePoint now);
  [[nodiscard]] auto FindOtherHomes(IdempotencyKey key, Duration memory,
                                    TimePoint now) const
      -> std::vector<OtherHome>;
  [[nodiscard]] auto RanksAmongHomes(IdempotencyKey key, Duration memory,
                                     TimePoint now) const -> bool;
  [[nodiscard]] auto IsHandedOver(InstanceId departed, Duration memory,
                                  TimePoint now) const -> bool;

  InstanceId self_;
  TimePoint knows_since_;
  std::optional<TimePoint> last_call_;
  std::optional<DataCentreId> data_centre_;
  std::vector<Member> local_peers_;  // Others that serve in this data centre.
  std::map<InstanceId, Departure> departed_;
  std::map<InstanceId, HandOver> handed_over_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_KEY_HOME_COMPLETENESS_H_
