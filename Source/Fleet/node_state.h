#ifndef HEMLOCKWICK_FLEET_NODE_STATE_H_
#define HEMLOCKWICK_FLEET_NODE_STATE_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "Core/random.h"
#include "Core/time.h"
#include "Fleet/config_store.h"
#include "Fleet/fleet_message.h"
#include "Fleet/fleet_node.h"
#include "Fleet/member_table.h"
#include "Fleet/outbox.h"
#include "Timeline/event_log.h"

namespace hemlockwick {

// Member updates that one probe, answer or piece of news carries at most.
inline constexpr std::size_t kUpdatesPerMessage = 6;

// State that the failure detector and the configuration exchange of one
// instance share.
struct NodeState {
  NodeState(Member self, EventLog& event_log, std::uint64_t seed, TimePoint now)
      : events(event_log),
        random(seed),
        members(std::move(self), event_log, now),
        outbox(now),
        last_platform_answer(now) {}

  EventLog& events;
  Random random;
  MemberTable members;
  ConfigStore store;
  Outbox outbox;

  // When an instance of this data centre last had an answer of the platform.
  TimePoint last_platform_answer;

  // Whether the instance list has been read since the process started.
  bool has_list = false;

  // Peers that have answered since the process started.
  std::size_t probe_acks = 0;

  // When a message of any peer last arrived, and when the latest was sent.
  TimePoint last_contact;
  TimePoint refreshed;

  // The published view has to be made anew.
  bool view_changed = false;

  // A message of a type that carries version, updates and clock.
  template <typename Message>
  auto Compose(InstanceId to, TimePoint now) -> Message {
    auto message = Message();
    message.version = store.version();
    message.digest = store.digest();
    message.updates = members.TakeUpdates(to, kUpdatesPerMessage);
    message.stamp = events.Stamp(now);
    message.platform_age = now - last_platform_answer;
    if constexpr (requires { message.member_digest; }) {
      message.member_digest = members.RingDigest();
    }
    return message;
  }

  // Takes what every message with a version, updates and clock says.
  template <typename Message>
  void ApplyCommonFields(InstanceId from, const Message& message,
                         TimePoint now) {
    Observe(message.stamp, now);
    // A message that waited while the process was suspended proves nothing
    // about the time since.
    refreshed = std::max(
        refreshed, std::min(now, FromUnixMillis(message.stamp.unix_millis)));
    for (const auto& update : message.updates) {
      view_changed = members.Apply(update, now) || view_changed;
    }
    members.RecordContact(from, now);
    const auto* sender = members.Find(from);
    if (sender != nullptr &&
        sender->member.data_centre == members.self().member.data_centre) {
      last_platform_answer =
          std::max(last_platform_answer, now - message.platform_age);
    }
  }

  // Sends recent member updates and the version to `count` peers.
  void SendGossip(std::size_t count, TimePoint now);

  // Sends them to one peer.
  void SendGossipTo(InstanceId peer, TimePoint now);

  // Up to `count` different peers out of `from`, chosen at random.
  auto Sample(const std::vector<InstanceId>& from, std::size_t count,
              InstanceId except) -> std::vector<InstanceId>;

 private:
  void Observe(HlcStamp stamp, TimePoint now);
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLEET_NODE_STATE_H_
