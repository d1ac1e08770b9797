#ifndef HEMLOCKWICK_FLOW_HAND_OVER_QUEUE_H_
#define HEMLOCKWICK_FLOW_HAND_OVER_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Flow/flow_message.h"
#include "Flow/flow_router.h"
#include "Flow/home_table.h"
#include "Flow/record_table.h"

namespace hemlockwick {

// Sends records to their new homes in batches, one batch at a time per
// receiver, within a budget of bytes a second. Lost batches are sent again.
class HandOverQueue {
 public:
  HandOverQueue(std::size_t bytes_per_second, TimePoint now);

  // Queues the record of a flow. It is read when it is sent.
  void Add(const HomeMember& to, FlowKey flow);

  // Queues a message that announces a past partition, without records if there
  // are none.
  void QueuePartitionNotice(const HomeMember& to);

  // Drops what is queued for members that are not in `homes`.
  void RetainMembers(const HomeTable& homes);

  // Returns the batches that the budget allows now.
  auto Collect(const RecordTable& records, TimePoint partition_effect_until,
               TimePoint now) -> FlowActions;

  void OnAck(InstanceId from, const HandOverAck& ack);

  // Charges the budget for a message that was sent outside the queue.
  void Charge(const FlowMessage& message);

  [[nodiscard]] auto empty() const -> bool { return receivers_.empty(); }
  [[nodiscard]] auto sent_bytes() const -> std::size_t { return sent_bytes_; }

 private:
  struct Batch {
    std::uint64_t sequence = 0;
    std::vector<FlowKey> flows;
    TimePoint sent;
    int attempts = 0;
  };
  struct Receiver {
    HomeMember member;
    std::deque<FlowKey> flows;
    bool partition_notice = false;
    std::optional<Batch> in_flight;
  };

  auto ReceiverOf(const HomeMember& member) -> Receiver&;
  void Refill(TimePoint now);
  auto NextBatch(Receiver& receiver, TimePoint now) -> bool;
  auto MakeMessage(const Receiver& receiver, const RecordTable& records,
                   TimePoint partition_effect_until) const -> HandOver;

  double bytes_per_second_;
  double budget_;
  TimePoint refilled_;
  std::uint64_t next_sequence_ = 1;
  std::size_t sent_bytes_ = 0;
  std::map<InstanceId, Receiver> receivers_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_HAND_OVER_QUEUE_H_
