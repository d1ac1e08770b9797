#ifndef HEMLOCKWICK_FLEET_CONFIG_SYNC_H_
#define HEMLOCKWICK_FLEET_CONFIG_SYNC_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Fleet/fleet_message.h"
#include "Fleet/node_state.h"
#include "Fleet/platform_reader.h"

namespace hemlockwick {

// Brings the highest published configuration version into force. Learns of
// versions from the platform's index and from peers, fetches what has changed,
// validates the complete configuration and announces it to peers.
class ConfigSync {
 public:
  ConfigSync(NodeState& state, PlatformReader& reader, bool has_seeds,
             TimePoint now);

  void OnTick(TimePoint now);
  [[nodiscard]] auto NextTick() const -> TimePoint;

  // Handles an index body read from the platform.
  void OnIndex(const std::string& body, TimePoint now);

  // Handles a shard body read from the platform; `body` is empty when the
  // platform returned none.
  void OnShard(const std::string& body, TimePoint now);

  // Handles the version that a peer reports to have in force.
  void OnAdvertised(InstanceId from, Version version, Digest digest,
                    TimePoint now);

  // Handles the version in a gossip message, and sends gossip back when the
  // sender has a lower one.
  void OnGossip(InstanceId from, const Gossip& gossip, TimePoint now);
  void OnFetch(InstanceId from, const ConfigFetch& fetch, TimePoint now);
  void OnOffer(InstanceId from, const ConfigOffer& offer, TimePoint now);
  void OnSendFailed(InstanceId to, TimePoint now);

  // Discards the transfers in progress after the process was suspended.
  void OnPause(TimePoint now);

 private:
  // The highest version advertised by peers, and the peers that have it.
  struct Advertised {
    Version version;
    Digest digest;
    std::vector<InstanceId> peers;  // Latest last.
  };

  void StartFetch(TimePoint now);
  void FetchFromPeer(TimePoint now);
  void RequestMissingShards(TimePoint now);
  void AdvanceCandidate(TimePoint now);
  void Accept(TimePoint now);
  void Refuse(Version version, Digest digest, const std::string& reason,
              TimePoint now);
  void OnIndexBody(const std::string& body, bool from_platform, TimePoint now);
  auto IsWanted(Version version, Digest digest, TimePoint now) -> bool;
  [[nodiscard]] auto MayAccept(TimePoint now) const -> bool;
  [[nodiscard]] auto HasWork() const -> bool;

  NodeState& state_;
  PlatformReader& reader_;
  bool has_seeds_;
  TimePoint started_;
  Advertised advertised_;
  bool is_fetching_ = false;
  TimePoint retry_at_ = TimePoint::max();
  std::uint32_t attempts_ = 0;
  bool wants_full_index_ = false;
  bool candidate_from_platform_ = false;
  // A complete candidate waits for a peer's version.
  bool is_awaiting_peers_ = false;
  TimePoint announce_at_ = TimePoint::max();
  std::set<std::pair<Version, Digest>> refused_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLEET_CONFIG_SYNC_H_
