#include "Fleet/node_state.h"

#include <utility>

namespace hemlockwick {

namespace {

// A stamp that is further ahead than this is not merged into the logical clock,
// so that one process with a wrong clock does not advance the whole fleet's.
constexpr Duration kMaxStampAhead = std::chrono::minutes(1);

}  // namespace

auto NodeState::Sample(const std::vector<InstanceId>& from, std::size_t count,
                       InstanceId except) -> std::vector<InstanceId> {
  auto pool = from;
  std::erase(pool, except);
  const auto wanted = std::min(count, pool.size());
  for (std::size_t i = 0; i < wanted; ++i) {
    std::swap(pool[i], pool[i + random.Below(pool.size() - i)]);
  }
  pool.resize(wanted);
  return pool;
}

void NodeState::SendGossip(std::size_t count, TimePoint now) {
  for (const auto peer : Sample(members.ring_peers(), count, InstanceId())) {
    SendGossipTo(peer, now);
  }
}

void NodeState::SendGossipTo(InstanceId peer, TimePoint now) {
  const auto* record = members.Find(peer);
  if (record != nullptr) {
    outbox.Send(record->member, Compose<Gossip>(peer, now),
                TrafficClass::kGossip, now);
  }
}

void NodeState::Observe(HlcStamp stamp, TimePoint now) {
  if (stamp.unix_millis <= ToUnixMillis(now + kMaxStampAhead)) {
    events.Observe(stamp, now);
  }
}

}  // namespace hemlockwick
