#ifndef HEMLOCKWICK_FLOW_ENDPOINT_INDEX_H_
#define HEMLOCKWICK_FLOW_ENDPOINT_INDEX_H_

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "Core/ids.h"
#include "Flow/endpoint_report.h"
#include "Flow/flow_token.h"

namespace hemlockwick {

struct DirectoryEndpoint {
  EndpointReport report;
  FlowToken token;
  // In the directory, not draining: takes new flows.
  bool takes_new = false;
};

using EndpointPointer = std::shared_ptr<const DirectoryEndpoint>;

// Endpoints by token and by service. A copy is cheap, and what it holds does
// not change with the original: a change copies the shards that it touches.
// One thread changes it; copies may be read by others.
class EndpointIndex {
 public:
  // Adds the endpoint, or replaces the one with its id.
  void Put(const DirectoryEndpoint& endpoint);

  void Remove(EndpointId endpoint);

  // Ends a series of changes, before a copy is given away. Returns the
  // endpoints that have newly lost their new flows to another one of their
  // service with the same token.
  auto Seal() -> std::vector<EndpointId>;

  // Calls `visit` with each endpoint that has the token.
  template <typename Visit>
  void ForEach(FlowToken token, Visit&& visit) const {
    const auto& shard = tokens_[ShardOf(token.value())];
    if (shard == nullptr) {
      return;
    }
    const auto [begin, end] = std::as_const(*shard).equal_range(token);
    for (auto found = begin; found != end; ++found) {
      visit(*found->second);
    }
  }

  // A service's endpoints that take new flows, by id.
  [[nodiscard]] auto TakersOf(ServiceId service) const
      -> std::span<const EndpointPointer>;

  [[nodiscard]] auto size() const -> std::size_t { return size_; }

 private:
  struct ServiceEndpoints {
    std::vector<EndpointPointer> all;  // By id.
    std::vector<EndpointPointer> takers;
    // Of several with one token, those that are not the first.
    std::vector<EndpointId> shadowed;
  };
  using TokenShard = std::unordered_multimap<FlowToken, EndpointPointer>;
  using ServiceShard = std::unordered_map<ServiceId, ServiceEndpoints>;

  static constexpr std::size_t kShards = 256;
  static constexpr auto ShardOf(std::uint64_t value) -> std::size_t {
    return MixWords(value, kShards) % kShards;
  }

  // A shard that no copy shares, so that it may be changed.
  template <typename Shard>
  static auto Own(std::shared_ptr<Shard>& shard, bool is_owned) -> Shard& {
    if (shard == nullptr) {
      shard = std::make_shared<Shard>();
    } else if (!is_owned) {
      shard = std::make_shared<Shard>(*shard);
    }
    return *shard;
  }
  auto OwnTokens(FlowToken token) -> TokenShard&;
  auto OwnServices(ServiceId service) -> ServiceShard&;
  static void FindTakers(ServiceEndpoints& service);

  std::array<std::shared_ptr<TokenShard>, kShards> tokens_;
  std::array<std::shared_ptr<ServiceShard>, kShards> services_;
  std::bitset<kShards> owned_tokens_;
  std::bitset<kShards> owned_services_;
  std::unordered_set<ServiceId> changed_;
  std::size_t size_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_ENDPOINT_INDEX_H_
