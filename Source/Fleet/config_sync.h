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

// Brings the highest published version into force: takes indexes of the
// platform and versions of peers, fetches what has changed, checks the whole
// and tells peers.
class ConfigSync {
 public:
  ConfigSync(NodeState& state, PlatformReader& reader, bool has_seeds,
             TimePoint now);

  void OnTick(TimePoint now);
  [[nodiscard]] auto NextTick() const -> TimePoint;

  // An index as the platform gave it.
  void OnIndex(const std::string& body, TimePoint now);

  // A shard as the platform gave it; `body` is empty when it had none.
  void OnShard(const std::string& body, TimePoint now);

  // A peer says which version it has in force.
  void OnAdvertised(InstanceId from, Version version, Digest digest,
                    TimePoint now);

  // Takes an unanswered message, and tells a sender that is behind.
  void OnGossip(InstanceId from, const Gossip& gossip, TimePoint now);
  void OnFetch(InstanceId from, const ConfigFetch& fetch, TimePoint now);
  void OnOffer(InstanceId from, const ConfigOffer& offer, TimePoint now);
  void OnSendFailed(InstanceId to, TimePoint now);

  // Drops what was under way before a pause.
  void OnPause(TimePoint now);

 private:
  // The highest version that peers have told of, and who has it.
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
  bool is_awaiting_peers_ =
      false;  // A complete candidate waits for a peer's word.
  TimePoint announce_at_ = TimePoint::max();
  std::set<std::pair<Version, Digest>> refused_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLEET_CONFIG_SYNC_H_
