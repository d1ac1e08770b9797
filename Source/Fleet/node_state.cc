#include "Fleet/node_state.h"

#include <utility>

namespace hemlockwick {

namespace {

// A stamp further ahead than this is not taken over: one process with a wrong
// clock must not carry those of the whole fleet along.
constexpr Duration kMaxStampLead = std::chrono::minutes(1);

}  // namespace

auto NodeState::Sample(const std::vector<InstanceId>& from, std::size_t count,
                       InstanceId except) -> std::vector<InstanceId> {
  auto pool = from;
  std::erase(pool, except);
  const auto wanted = std::min(count, pool.size());
  for (std::size_t at = 0; at < wanted; ++at) {
    std::swap(pool[at], pool[at + random.Below(pool.size() - at)]);
  }
  pool.resize(wanted);
  return pool;
}

void NodeState::SendNews(std::size_t count, TimePoint now) {
  for (const auto peer : Sample(members.near_peers(), count, InstanceId())) {
    SendNewsTo(peer, now);
  }
}

void NodeState::SendNewsTo(InstanceId peer, TimePoint now) {
  const auto* record = members.Find(peer);
  if (record != nullptr) {
    outbox.Send(record->member, Compose<Gossip>(peer, now), TrafficClass::kNews,
                now);
  }
}

void NodeState::Observe(HlcStamp stamp, TimePoint now) {
  if (stamp.unix_millis <= ToUnixMillis(now + kMaxStampLead)) {
    events.Observe(stamp, now);
  }
}

}  // namespace hemlockwick
