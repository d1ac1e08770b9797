#include "Fleet/config_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace hemlockwick {

namespace {

using nlohmann::json;

auto IsSame(const PublishedIndex& index, Version version, Digest digest)
    -> bool {
  return index.version == version && index.digest == digest;
}

auto SameDataCentres(const PublishedIndex& left, const PublishedIndex& right)
    -> bool {
  return std::equal(left.data_centres.begin(), left.data_centres.end(),
                    right.data_centres.begin(), right.data_centres.end(),
                    [](const DataCentre& one, const DataCentre& other) {
                      return one.name == other.name &&
                             one.region == other.region;
                    });
}

// Returns the splices that turn `base` into `target`, aligned at the shards
// that both contain.
auto FindSplices(const std::vector<ShardRef>& base,
                 const std::vector<ShardRef>& target)
    -> std::vector<ShardSplice> {
  auto positions = std::map<std::string, std::size_t>();
  for (std::size_t i = 0; i < target.size(); ++i) {
    positions.emplace(target[i].key, i);
  }
  auto splices = std::vector<ShardSplice>();
  std::size_t from = 0;
  std::size_t to = 0;
  while (from < base.size() || to < target.size()) {
    if (from < base.size() && to < target.size() && base[from] == target[to]) {
      ++from;
      ++to;
      continue;
    }
    auto splice = ShardSplice{from, 0, {}};
    auto next = target.size();
    while (from < base.size()) {
      const auto found = positions.find(base[from].key);
      if (found != positions.end() && found->second >= to) {
        next = found->second;
        break;
      }
      ++from;
      ++splice.removed;
    }
    for (; to < next; ++to) {
      splice.added.push_back(target[to]);
    }
    splices.push_back(std::move(splice));
  }
  return splices;
}

// Applies splices to the shards of a base. Returns nothing when a position is
// out of range or out of order.
auto ApplySplices(const std::vector<ShardRef>& base,
                  const std::vector<ShardSplice>& splices)
    -> std::optional<std::vector<ShardRef>> {
  auto shards = std::vector<ShardRef>();
  std::size_t from = 0;
  for (const auto& splice : splices) {
    if (splice.position < from || splice.position > base.size() ||
        splice.removed > base.size() - splice.position) {
      return std::nullopt;
    }
    for (; from < splice.position; ++from) {
      shards.push_back(base[from]);
    }
    shards.insert(shards.end(), splice.added.begin(), splice.added.end());
    from += splice.removed;
  }
  for (; from < base.size(); ++from) {
    shards.push_back(base[from]);
  }
  return shards;
}

// Returns a JSON patch from `base` to `target`, or nothing unless the patch
// reproduces the target byte for byte and is shorter than it.
auto MakePatch(const std::string& base, const std::string& target)
    -> std::optional<std::string> {
  const auto from = json::parse(base, nullptr, false);
  const auto to = json::parse(target, nullptr, false);
  if (from.is_discarded() || to.is_discarded()) {
    return std::nullopt;
  }
  const auto patch = json::diff(from, to);
  auto text = patch.dump();
  if (text.size() >= target.size() || from.patch(patch).dump() != target) {
    return std::nullopt;
  }
  return text;
}

auto ApplyPatch(const std::string& base, const std::string& patch)
    -> Result<std::string> {
  try {
    return json::parse(base).patch(json::parse(patch)).dump();
  } catch (const json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument,
                std::string("malformed shard patch: ") + error.what());
  }
}

}  // namespace

void ConfigStore::BeginCandidate(std::string index_body, PublishedIndex index) {
  auto known = ShardMap();
  for (const auto& ref : index.shards) {
    auto shard = FindShard(ref.key);
    if (shard != nullptr) {
      known.emplace(ref.key, std::move(shard));
    }
  }
  candidate_shards_ = std::move(known);
  candidate_body_ = std::move(index_body);
  candidate_ = std::move(index);
}

auto ConfigStore::BeginCandidate(const ConfigDelta& delta) -> Result<void> {
  const auto* base = FindIndex(delta.base_version, delta.base_digest);
  if (base == nullptr) {
    return Fail(ErrorCode::kNotFound,
                "the base version of the delta is not kept");
  }
  auto shards = ApplySplices(base->shards, delta.splices);
  if (!shards) {
    return Fail(ErrorCode::kInvalidArgument,
                "the delta does not match its base version");
  }
  const auto target = PublishedIndex{delta.version, Digest(), delta.published,
                                     base->data_centres, std::move(*shards)};
  auto body = EncodeIndex(target);
  BOOST_LEAF_AUTO(index, DecodeIndex(body));
  BeginCandidate(std::move(body), std::move(index));
  for (const auto& patch : delta.patches) {
    const auto old = FindShard(patch.base_key);
    if (old == nullptr) {
      continue;
    }
    BOOST_LEAF_AUTO(patched, ApplyPatch(old->body, patch.patch));
    BOOST_LEAF_CHECK(AddShard(patched));
  }
  return {};
}

auto ConfigStore::AddShard(const std::string& body) -> Result<void> {
  if (!candidate_) {
    return {};
  }
  BOOST_LEAF_AUTO(shard, DecodeShard(body));
  for (const auto& ref : candidate_->shards) {
    if (ref.digest == shard->digest) {
      candidate_shards_.emplace(
          ref.key, std::make_shared<StoredShard>(StoredShard{body, shard}));
      break;
    }
  }
  return {};
}

auto ConfigStore::MissingKeys() const -> std::vector<std::string> {
  auto missing = std::vector<std::string>();
  if (!candidate_) {
    return missing;
  }
  for (const auto& ref : candidate_->shards) {
    if (!candidate_shards_.contains(ref.key)) {
      missing.push_back(ref.key);
    }
  }
  return missing;
}

auto ConfigStore::AcceptCandidate() -> Result<void> {
  auto index = std::move(*candidate_);
  candidate_.reset();
  auto shards = std::vector<std::shared_ptr<const ConfigShard>>();
  for (const auto& ref : index.shards) {
    shards.push_back(candidate_shards_.at(ref.key)->shard);
  }
  BOOST_LEAF_AUTO(config, AssembleFleetConfig(index, shards));
  auto previous = std::exchange(shards_, std::move(candidate_shards_));
  if (config_ != nullptr) {
    kept_.push_front(KeptVersion{std::move(index_), {}});
    KeepSuperseded(std::move(previous));
  }
  config_ = std::move(config);
  index_ = std::move(index);
  index_body_ = std::move(candidate_body_);
  offered_.reset();
  return {};
}

void ConfigStore::KeepSuperseded(ShardMap previous) {
  std::erase_if(previous, [this](const auto& entry) {
    return shards_.contains(entry.first);
  });
  kept_.front().shards = std::move(previous);
  if (kept_.size() > kKeptVersions) {
    kept_.pop_back();
  }
}

auto ConfigStore::FindIndex(Version version, Digest digest) const
    -> const PublishedIndex* {
  if (config_ != nullptr && IsSame(index_, version, digest)) {
    return &index_;
  }
  const auto found = std::find_if(kept_.begin(), kept_.end(),
                                  [version, digest](const KeptVersion& kept) {
                                    return IsSame(kept.index, version, digest);
                                  });
  return found == kept_.end() ? nullptr : &found->index;
}

auto ConfigStore::FindShard(const std::string& key) const
    -> std::shared_ptr<const StoredShard> {
  for (const auto* shards : {&shards_, &candidate_shards_}) {
    const auto found = shards->find(key);
    if (found != shards->end()) {
      return found->second;
    }
  }
  for (const auto& kept : kept_) {
    const auto found = kept.shards.find(key);
    if (found != kept.shards.end()) {
      return found->second;
    }
  }
  return nullptr;
}

auto ConfigStore::MakeOffer(const ConfigFetch& fetch, std::size_t limit)
    -> ConfigOffer {
  auto offer = ConfigOffer();
  if (fetch.shard_keys.empty()) {
    const auto* base = FindIndex(fetch.have_version, fetch.have_digest);
    if (base == nullptr) {
      offer.index_body = index_body_;
      return offer;
    }
    if (!offered_ || offered_base_ != base->version) {
      offered_ = MakeDelta(*base);
      offered_base_ = base->version;
    }
    if (offered_) {
      return *offered_;
    }
    offer.index_body = index_body_;
    return offer;
  }
  std::size_t bytes = 0;
  for (const auto& key : fetch.shard_keys) {
    const auto shard = FindShard(key);
    if (shard == nullptr) {
      continue;
    }
    bytes += shard->body.size();
    if (bytes > limit && !offer.shard_bodies.empty()) {
      break;
    }
    offer.shard_bodies.push_back(shard->body);
  }
  return offer;
}

auto ConfigStore::MakeDelta(const PublishedIndex& base) const
    -> std::optional<ConfigOffer> {
  if (!SameDataCentres(base, index_)) {
    return std::nullopt;
  }
  auto offer = ConfigOffer();
  offer.delta = ConfigDelta{base.version,
                            base.digest,
                            index_.version,
                            index_.published,
                            FindSplices(base.shards, index_.shards),
                            {}};
  const auto rebuilt = ApplySplices(base.shards, offer.delta->splices);
  if (!rebuilt || *rebuilt != index_.shards) {
    return std::nullopt;
  }
  const auto splices = offer.delta->splices;
  for (const auto& splice : splices) {
    MakePatches(splice, base, offer);
  }
  return offer;
}

void ConfigStore::MakePatches(const ShardSplice& splice,
                              const PublishedIndex& base,
                              ConfigOffer& offer) const {
  for (std::size_t i = 0; i < splice.added.size(); ++i) {
    const auto target = FindShard(splice.added[i].key);
    auto patch = std::optional<std::string>();
    if (i < splice.removed) {
      const auto& base_key = base.shards[splice.position + i].key;
      const auto old = FindShard(base_key);
      patch =
          old == nullptr ? std::nullopt : MakePatch(old->body, target->body);
      if (patch) {
        offer.delta->patches.push_back(ShardPatch{base_key, std::move(*patch)});
      }
    }
    if (!patch) {
      offer.shard_bodies.push_back(target->body);
    }
  }
}

}  // namespace hemlockwick
