#include "Flow/endpoint_index.h"

#include <algorithm>
#include <utility>

namespace hemlockwick {

namespace {

auto IdOf(const EndpointPointer& endpoint) -> EndpointId {
  return endpoint->report.id;
}

}  // namespace

auto EndpointIndex::OwnTokens(FlowToken token) -> TokenShard& {
  const auto at = ShardOf(token.value());
  const auto is_owned = owned_tokens_.test(at);
  owned_tokens_.set(at);
  return Own(tokens_[at], is_owned);
}

auto EndpointIndex::OwnServices(ServiceId service) -> ServiceShard& {
  const auto at = ShardOf(service.value());
  const auto is_owned = owned_services_.test(at);
  owned_services_.set(at);
  return Own(services_[at], is_owned);
}

void EndpointIndex::Put(const DirectoryEndpoint& endpoint) {
  Remove(endpoint.report.id);
  const auto pointer = std::make_shared<const DirectoryEndpoint>(endpoint);
  OwnTokens(endpoint.token).emplace(endpoint.token, pointer);
  auto& all = OwnServices(endpoint.report.service)[endpoint.report.service].all;
  const auto at = std::ranges::lower_bound(all, endpoint.report.id, {}, IdOf);
  all.insert(at, pointer);
  changed_.insert(endpoint.report.service);
  ++size_;
}

void EndpointIndex::Remove(EndpointId endpoint) {
  const auto token = TokenOf(endpoint);
  auto& shard = OwnTokens(token);
  const auto [begin, end] = shard.equal_range(token);
  const auto found = std::find_if(begin, end, [endpoint](const auto& entry) {
    return IdOf(entry.second) == endpoint;
  });
  if (found == end) {
    return;
  }
  const auto service = found->second->report.service;
  shard.erase(found);
  auto& all = OwnServices(service)[service].all;
  all.erase(std::ranges::lower_bound(all, endpoint, {}, IdOf));
  changed_.insert(service);
  --size_;
}

auto EndpointIndex::Seal() -> std::vector<EndpointId> {
  auto newly_shadowed = std::vector<EndpointId>();
  for (const auto id : std::exchange(changed_, {})) {
    auto& shard = OwnServices(id);
    auto& service = shard[id];
    const auto before = std::exchange(service.shadowed, {});
    FindTakers(service);
    std::ranges::copy_if(service.shadowed, std::back_inserter(newly_shadowed),
                         [&before](const auto endpoint) {
                           return std::ranges::find(before, endpoint) ==
                                  before.end();
                         });
    if (service.all.empty()) {
      shard.erase(id);
    }
  }
  owned_tokens_.reset();
  owned_services_.reset();
  return newly_shadowed;
}

void EndpointIndex::FindTakers(ServiceEndpoints& service) {
  service.takers.clear();
  auto seen = std::unordered_set<FlowToken>();
  for (const auto& endpoint : service.all) {
    if (!seen.insert(endpoint->token).second) {
      service.shadowed.push_back(endpoint->report.id);
    } else if (endpoint->takes_new) {
      service.takers.push_back(endpoint);
    }
  }
}

auto EndpointIndex::TakersOf(ServiceId service) const
    -> std::span<const EndpointPointer> {
  const auto& shard = services_[ShardOf(service.value())];
  if (shard == nullptr) {
    return {};
  }
  const auto found = shard->find(service);
  if (found == shard->end()) {
    return {};
  }
  return found->second.takers;
}

}  // namespace hemlockwick
