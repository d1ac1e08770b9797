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
  bool accepts_new_flows = false;
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
  auto Commit() -> std::vector<EndpointId>;

  // Calls `visit` with each endpoint that has the token.
  template <typename Visit>
  void ForEach(FlowToken token, Visit&& visit) const {
    const auto& shard = token_shards_[ShardOf(token.value())];
    if (shard == nullptr) {
      return;
    }
    const auto [begin, end] = std::as_const(*shard).equal_range(token);
    for (auto found = begin; found != end; ++found) {
      visit(*found->second);
    }
  }

  // A service's endpoints that take new flows, by id.
  [[nodiscard]] auto EligibleEndpointsOf(ServiceId service) const
      -> std::span<const EndpointPointer>;

  [[nodiscard]] auto size() const -> std::size_t { return size_; }

 private:
  struct ServiceEndpoints {
    std::vector<EndpointPointer> all;  // By id.
    std::vector<EndpointPointer> eligible;
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
  static auto MutableShard(std::shared_ptr<Shard>& shard, bool is_exclusive)
      -> Shard& {
    if (shard == nullptr) {
      shard = std::make_shared<Shard>();
    } else if (!is_exclusive) {
      shard = std::make_shared<Shard>(*shard);
    }
    return *shard;
  }
  auto MutableTokenShard(FlowToken token) -> TokenShard&;
  auto MutableServiceShard(ServiceId service) -> ServiceShard&;
  static void SelectEligible(ServiceEndpoints& service);

  std::array<std::shared_ptr<TokenShard>, kShards> token_shards_;
  std::array<std::shared_ptr<ServiceShard>, kShards> service_shards_;
  std::bitset<kShards> exclusive_token_shards_;
  std::bitset<kShards> exclusive_service_shards_;
  std::unordered_set<ServiceId> changed_services_;
  std::size_t size_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_ENDPOINT_INDEX_H_
