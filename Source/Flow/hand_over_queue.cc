#include "Flow/hand_over_queue.h"

#include <algorithm>
#include <utility>

namespace hemlockwick {

namespace {

constexpr std::size_t kRecordsPerBatch = 100;
constexpr Duration kResendInterval = std::chrono::seconds(2);
constexpr int kMaxAttempts = 15;

// Overhead of HTTP and JSON-RPC per message.
constexpr std::size_t kEnvelopeBytes = 400;

auto ToHandOverRecord(const FlowRecord& record) -> HandOverRecord {
  auto transferred = HandOverRecord();
  transferred.flow = record.flow;
  transferred.service = record.service;
  transferred.endpoint = record.endpoint;
  transferred.opened = TimePoint(std::chrono::seconds(record.opened_seconds));
  transferred.last_seen =
      TimePoint(std::chrono::seconds(record.last_seen_seconds));
  return transferred;
}

}  // namespace

HandOverQueue::HandOverQueue(std::size_t bytes_per_second, TimePoint now)
    : bytes_per_second_(static_cast<double>(bytes_per_second)),
      budget_(bytes_per_second_),
      refilled_(now) {}

auto HandOverQueue::ReceiverOf(const HomeMember& member) -> Receiver& {
  auto& receiver = receivers_[member.id];
  if (receiver.member.started != member.started) {
    receiver = Receiver();
  }
  receiver.member = member;
  return receiver;
}

void HandOverQueue::Add(const HomeMember& to, FlowKey flow) {
  ReceiverOf(to).flows.push_back(flow);
}

void HandOverQueue::QueuePartitionNotice(const HomeMember& to) {
  ReceiverOf(to).partition_notice = true;
}

void HandOverQueue::RetainMembers(const HomeTable& homes) {
  std::erase_if(receivers_, [&homes](const auto& entry) {
    return homes.Find(entry.second.member) == nullptr;
  });
}

void HandOverQueue::Refill(TimePoint now) {
  const auto elapsed = std::chrono::duration<double>(now - refilled_).count();
  refilled_ = std::max(refilled_, now);
  budget_ = std::min(budget_ + std::max(0.0, elapsed) * bytes_per_second_,
                     bytes_per_second_);
}

auto HandOverQueue::NextBatch(Receiver& receiver, TimePoint now) -> bool {
  if (receiver.in_flight) {
    if (now < receiver.in_flight->sent + kResendInterval) {
      return false;
    }
    receiver.in_flight->sent = now;
    ++receiver.in_flight->attempts;
    return true;
  }
  auto batch = Batch();
  const auto count = std::min(kRecordsPerBatch, receiver.flows.size());
  const auto end = receiver.flows.begin() + static_cast<std::ptrdiff_t>(count);
  batch.flows.assign(receiver.flows.begin(), end);
  receiver.flows.erase(receiver.flows.begin(), end);
  receiver.partition_notice = false;
  batch.sequence = next_sequence_++;
  batch.sent = now;
  receiver.in_flight = std::move(batch);
  return true;
}

auto HandOverQueue::MakeMessage(const Receiver& receiver,
                                const RecordTable& records,
                                TimePoint partition_effect_until) const
    -> HandOver {
  auto message = HandOver();
  message.sequence = receiver.in_flight->sequence;
  message.last = receiver.flows.empty();
  message.partition_effect_until = partition_effect_until;
  for (const auto flow : receiver.in_flight->flows) {
    const auto record = records.Find(flow);
    if (record && record->closed_seconds == 0) {
      message.records.push_back(ToHandOverRecord(*record));
    }
  }
  return message;
}

auto HandOverQueue::Collect(const RecordTable& records,
                            TimePoint partition_effect_until, TimePoint now)
    -> FlowActions {
  Refill(now);
  auto actions = FlowActions();
  auto abandoned = std::vector<InstanceId>();
  for (auto& [id, receiver] : receivers_) {
    if (budget_ <= 0) {
      break;
    }
    if (!NextBatch(receiver, now)) {
      continue;
    }
    if (receiver.in_flight->attempts > kMaxAttempts) {
      abandoned.push_back(id);
      continue;
    }
    auto message = MakeMessage(receiver, records, partition_effect_until);
    Charge(message);
    actions.push_back(
        {receiver.member.id, receiver.member.http_address, std::move(message)});
  }
  for (const auto id : abandoned) {
    receivers_.erase(id);
  }
  return actions;
}

void HandOverQueue::OnAck(InstanceId from, const HandOverAck& ack) {
  const auto found = receivers_.find(from);
  if (found == receivers_.end()) {
    return;
  }
  auto& receiver = found->second;
  if (!receiver.in_flight || receiver.in_flight->sequence != ack.sequence) {
    return;
  }
  receiver.in_flight.reset();
  if (receiver.flows.empty() && !receiver.partition_notice) {
    receivers_.erase(found);
  }
}

void HandOverQueue::Charge(const FlowMessage& message) {
  const auto bytes = Encode(message).size() + kEnvelopeBytes;
  sent_bytes_ += bytes;
  budget_ -= static_cast<double>(bytes);
}

}  // namespace hemlockwick
