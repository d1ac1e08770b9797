#ifndef HEMLOCKWICK_FLOW_EVACUATION_LIST_H_
#define HEMLOCKWICK_FLOW_EVACUATION_LIST_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"

namespace hemlockwick {

// Whether a data centre is evacuated: its endpoints get no new flows.
struct Evacuation {
  std::string data_centre;  // Its name; may hold any bytes.
  bool is_evacuated = true;
  Revision revision;  // Of the change that started or ended it.

  friend auto operator==(const Evacuation&, const Evacuation&)
      -> bool = default;
};

// The evacuated data centres, with the time at which this instance learned of
// each evacuation.
using EvacuatedDataCentres = std::unordered_map<DataCentreId, TimePoint>;

// The start or end of an evacuation at this instance, for the log.
struct EvacuationEvent {
  Evacuation evacuation;
  Duration duration{0};  // Of an evacuation that has ended.
};

// The evacuations that an instance knows. Used by the control thread only.
//
// A platform that was restored from an older copy may lack an evacuation that
// its operator has not ended. While ends are deferred, an evacuation stays in
// force although the platform no longer holds it.
class EvacuationList {
 public:
  // Applies a change that the platform holds.
  void Apply(const Evacuation& evacuation, TimePoint now);

  // Ends all evacuations that are not in `present`, the complete list that the
  // platform holds at `revision`.
  void EndOthers(const std::vector<Evacuation>& present, Revision revision,
                 TimePoint now);

  // Defers the end of the present evacuations until `until`, because the
  // platform was restored from an older copy. Those that it reports again end
  // as usual.
  void DeferEndsUntil(TimePoint until);

  // Ends the evacuations whose end was deferred, once the time is over.
  void OnTick(TimePoint now);

  // The evacuated data centres. The result does not change any more.
  [[nodiscard]] auto Current() const
      -> std::shared_ptr<const EvacuatedDataCentres> {
    return current_;
  }

  // Names of the evacuated data centres, sorted.
  [[nodiscard]] auto Names() const -> std::vector<std::string>;

  // Events since the last call.
  [[nodiscard]] auto TakeEvents() -> std::vector<EvacuationEvent>;

 private:
  struct Entry {
    TimePoint since;
    bool is_confirmed = true;          // Reported since the last restore.
    std::optional<Revision> ended_by;  // Its end is deferred.
  };

  void Start(const Evacuation& evacuation, TimePoint now);
  void End(const std::string& data_centre, Revision revision, TimePoint now);
  void UpdateCurrent();

  std::map<std::string, Entry> entries_;
  std::shared_ptr<const EvacuatedDataCentres> current_ =
      std::make_shared<const EvacuatedDataCentres>();
  std::optional<TimePoint> defers_until_;
  std::vector<EvacuationEvent> events_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_EVACUATION_LIST_H_
