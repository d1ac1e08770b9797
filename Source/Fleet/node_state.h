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

// Most member updates in one probe, answer or gossip message.
inline constexpr std::size_t kUpdatesPerMessage = 6;

// State that the failure detector, the platform reader and the configuration
// synchronisation of one instance share.
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

  // When the platform last answered an instance of this data centre.
  TimePoint last_platform_answer;

  // Whether the instance list has been read since the process started.
  bool has_list = false;

  // Probe answers received since the process started.
  std::size_t probe_acks = 0;

  // When a message from any peer last arrived, and when the latest one was sent
  // (by its stamp).
  TimePoint last_contact;
  TimePoint refreshed;

  // The published view has to be rebuilt.
  bool view_changed = false;

  // Composes a message of a type with the common fields: version, member
  // updates and clock.
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

  // Applies the clock, member updates and platform age of a received message.
  // The version is left to ConfigSync.
  template <typename Message>
  void ApplyCommonFields(InstanceId from, const Message& message,
                         TimePoint now) {
    Observe(message.stamp, now);
    // A message that waited while this process was suspended proves nothing
    // about the time since it was sent, so its own stamp counts.
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

  // Sends recent member updates and the configuration version to `count` random
  // ring peers.
  void SendGossip(std::size_t count, TimePoint now);

  // Sends recent member updates and the configuration version to one peer.
  void SendGossipTo(InstanceId peer, TimePoint now);

  // Returns up to `count` different peers out of `from`, chosen at random.
  auto Sample(const std::vector<InstanceId>& from, std::size_t count,
              InstanceId except) -> std::vector<InstanceId>;

 private:
  void Observe(HlcStamp stamp, TimePoint now);
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLEET_NODE_STATE_H_
