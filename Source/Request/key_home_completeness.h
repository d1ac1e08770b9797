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

// Departed members are taken into account for this long. No key is remembered
// for longer.
inline constexpr Duration kDepartureRetention = std::chrono::hours(49);

// Decides at a home whether its record of the claims of a key is complete. Only
// then may it grant a claim of the key.
class KeyHomeCompleteness {
 public:
  KeyHomeCompleteness(InstanceId self, TimePoint knows_since);

  void OnMembers(const MemberView& view, TimePoint now);

  // Detects that this process was suspended for so long that other members may
  // have acted in its place, and counts its record as complete only from `now`
  // on. Call it before any message or tick is handled.
  void DetectSuspension(TimePoint now);

  // Records that a leaving member has handed over all keys that pass to this
  // home. Its record of them was complete since `knows_since`.
  void OnHandOver(InstanceId from, TimePoint knows_since, TimePoint now);

  // Whether this instance is a home of the key in its data centre and knows all
  // claims that must still be remembered.
  [[nodiscard]] auto KnowsAllClaims(IdempotencyKey key, Duration memory,
                                    TimePoint now) const -> bool;

  // Text of the state for diagnostics. Equal states have equal texts.
  [[nodiscard]] auto Describe() const -> std::string;

  // Time of the last call of DetectSuspension; the epoch before the first call.
  [[nodiscard]] auto last_call() const -> TimePoint {
    return last_call_.value_or(TimePoint());
  }

  // Time since which the record of this home is complete, for a hand-over.
  [[nodiscard]] auto KnowsSince() const -> TimePoint;

 private:
  // A former serving member of this data centre.
  struct Departure {
    TimePoint started;
    TimePoint seen;
  };

  struct HandOver {
    TimePoint knows_since;
    TimePoint arrived;
  };

  // Another member that is a complete home, or was one when it departed.
  struct OtherHome {
    std::uint64_t rank = 0;
    bool is_handed_over = false;  // It handed its keys over to this home.
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
  std::vector<Member> local_peers_;  // Other serving members here.
  std::map<InstanceId, Departure> departed_;
  std::map<InstanceId, HandOver> handed_over_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_KEY_HOME_COMPLETENESS_H_
