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
  // Its entry is present and readable, and it is not draining.
  bool accepts_new_flows = false;
};

using EndpointPointer = std::shared_ptr<const DirectoryEndpoint>;

// Endpoints by token and by service, in shards with copy-on-write. A copy is
// cheap and does not change with the original, because a change first copies
// the shards that it touches. One thread changes the index; other threads may
// read copies.
class EndpointIndex {
 public:
  // Adds the endpoint, or replaces the one with its id.
  void Put(const DirectoryEndpoint& endpoint);

  void Remove(EndpointId endpoint);

  // Completes a series of changes; to be called before the index is copied for
  // other threads. Returns the endpoints that no longer accept new flows
  // because another endpoint of their service has the same token.
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

  // The service's endpoints that accept new flows, sorted by id.
  [[nodiscard]] auto EligibleEndpointsOf(ServiceId service) const
      -> std::span<const EndpointPointer>;

  // All endpoints of the service, sorted by id.
  [[nodiscard]] auto EndpointsOf(ServiceId service) const
      -> std::span<const EndpointPointer>;

  [[nodiscard]] auto size() const -> std::size_t { return size_; }

 private:
  struct ServiceEndpoints {
    std::vector<EndpointPointer> all;  // Sorted by id.
    std::vector<EndpointPointer> eligible;
    // Endpoints whose token a lower id of the service has too.
    std::vector<EndpointId> shadowed;
  };
  using TokenShard = std::unordered_multimap<FlowToken, EndpointPointer>;
  using ServiceShard = std::unordered_map<ServiceId, ServiceEndpoints>;

  static constexpr std::size_t kShards = 256;
  static constexpr auto ShardOf(std::uint64_t value) -> std::size_t {
    return MixWords(value, kShards) % kShards;
  }

  // Returns the shard for a change, copied first unless `is_exclusive`: copies
  // of the index may share it.
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
  [[nodiscard]] auto Find(ServiceId service) const -> const ServiceEndpoints*;
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
