#ifndef HEMLOCKWICK_FLEET_PLATFORM_READER_H_
#define HEMLOCKWICK_FLEET_PLATFORM_READER_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Fleet/node_state.h"

namespace hemlockwick {

// Number of instances of a data centre that watch the platform.
inline constexpr std::size_t kReadersPerDataCentre = 2;

// Subject of the platform_lost and platform_back events, whichever value showed
// the change. The event's detail is the key of that value.
inline constexpr std::string_view kPlatformSubject = "platform";

// Decides when this instance calls the platform. The readers of a data centre
// watch the index and the instance list. Any other instance reads them only
// when it starts and when no reader has succeeded for a long time: then at
// random times whose total rate does not grow with the size of the data centre.
class PlatformReader {
 public:
  PlatformReader(NodeState& state, TimePoint now);

  void OnTick(TimePoint now);
  [[nodiscard]] auto NextTick() const -> TimePoint;

  // Records an answer. Returns false when it does not belong to any read.
  auto OnAnswer(const PlatformAnswer& answer, TimePoint now) -> bool;

  // Requests shards, up to the limit of outstanding reads.
  void ReadShards(const std::vector<std::string>& keys, TimePoint now);

  // Schedules both values to be read again after the process was suspended.
  void OnPause(TimePoint now);

 private:
  // A value that is read repeatedly.
  struct WatchedValue {
    std::string key;
    Duration min_interval{0};  // Shortest time between two reads.
    std::uint64_t after = 0;
    bool is_outstanding = false;
    TimePoint answer_due;
    TimePoint next_read;
    std::uint32_t failures = 0;
  };

  void Read(WatchedValue& value, bool as_reader, TimePoint now);
  void RecordFailure(WatchedValue& value, TimePoint now);
  void RecordSuccess(WatchedValue& value, const PlatformAnswer& answer,
                     TimePoint now);
  void EndBackoff(TimePoint now);
  void Schedule(WatchedValue& value, TimePoint now);
  [[nodiscard]] auto IsReaderSilent(TimePoint now) const -> bool;

  NodeState& state_;
  WatchedValue index_;
  WatchedValue list_;
  bool was_reader_ = false;
  bool is_platform_lost_ = false;
  TimePoint next_role_check_;
  std::set<std::string> outstanding_shards_;
  TimePoint shard_answers_due_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLEET_PLATFORM_READER_H_
