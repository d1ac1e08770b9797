#include "Flow/endpoint_index.h"

#include <algorithm>
#include <utility>

namespace hemlockwick {

namespace {

auto IdOf(const EndpointPointer& endpoint) -> EndpointId {
  return endpoint->report.id;
}

}  // namespace

auto EndpointIndex::MutableTokenShard(FlowToken token) -> TokenShard& {
  const auto at = ShardOf(token.value());
  const auto is_exclusive = exclusive_token_shards_.test(at);
  exclusive_token_shards_.set(at);
  return MutableShard(token_shards_[at], is_exclusive);
}

auto EndpointIndex::MutableServiceShard(ServiceId service) -> ServiceShard& {
  const auto at = ShardOf(service.value());
  const auto is_exclusive = exclusive_service_shards_.test(at);
  exclusive_service_shards_.set(at);
  return MutableShard(service_shards_[at], is_exclusive);
}

void EndpointIndex::Put(const DirectoryEndpoint& endpoint) {
  Remove(endpoint.report.id);
  const auto pointer = std::make_shared<const DirectoryEndpoint>(endpoint);
  MutableTokenShard(endpoint.token).emplace(endpoint.token, pointer);
  auto& all =
      MutableServiceShard(endpoint.report.service)[endpoint.report.service].all;
  const auto at = std::ranges::lower_bound(all, endpoint.report.id, {}, IdOf);
  all.insert(at, pointer);
  changed_services_.insert(endpoint.report.service);
  ++size_;
}

void EndpointIndex::Remove(EndpointId endpoint) {
  const auto token = TokenOf(endpoint);
  auto& shard = MutableTokenShard(token);
  const auto [begin, end] = shard.equal_range(token);
  const auto found = std::find_if(begin, end, [endpoint](const auto& entry) {
    return IdOf(entry.second) == endpoint;
  });
  if (found == end) {
    return;
  }
  const auto service = found->second->report.service;
  shard.erase(found);
  auto& all = MutableServiceShard(service)[service].all;
  all.erase(std::ranges::lower_bound(all, endpoint, {}, IdOf));
  changed_services_.insert(service);
  --size_;
}

auto EndpointIndex::Commit() -> std::vector<EndpointId> {
  auto newly_shadowed = std::vector<EndpointId>();
  for (const auto id : std::exchange(changed_services_, {})) {
    auto& shard = MutableServiceShard(id);
    auto& service = shard[id];
    const auto before = std::exchange(service.shadowed, {});
    SelectEligible(service);
    std::ranges::copy_if(service.shadowed, std::back_inserter(newly_shadowed),
                         [&before](const auto endpoint) {
                           return std::ranges::find(before, endpoint) ==
                                  before.end();
                         });
    if (service.all.empty()) {
      shard.erase(id);
    }
  }
  exclusive_token_shards_.reset();
  exclusive_service_shards_.reset();
  return newly_shadowed;
}

void EndpointIndex::SelectEligible(ServiceEndpoints& service) {
  service.eligible.clear();
  auto seen = std::unordered_set<FlowToken>();
  for (const auto& endpoint : service.all) {
    if (!seen.insert(endpoint->token).second) {
      service.shadowed.push_back(endpoint->report.id);
    } else if (endpoint->accepts_new_flows) {
      service.eligible.push_back(endpoint);
    }
  }
}

auto EndpointIndex::EligibleEndpointsOf(ServiceId service) const
    -> std::span<const EndpointPointer> {
  const auto* const found = Find(service);
  return found == nullptr ? std::span<const EndpointPointer>()
                          : found->eligible;
}

auto EndpointIndex::EndpointsOf(ServiceId service) const
    -> std::span<const EndpointPointer> {
  const auto* const found = Find(service);
  return found == nullptr ? std::span<const EndpointPointer>() : found->all;
}

auto EndpointIndex::Find(ServiceId service) const -> const ServiceEndpoints* {
  const auto& shard = service_shards_[ShardOf(service.value())];
  if (shard == nullptr) {
    return nullptr;
  }
  const auto found = shard->find(service);
  return found == shard->end() ? nullptr : &found->second;
}

}  // namespace hemlockwick
