#include "Flow/address_usage.h"

#include <algorithm>

namespace hemlockwick {

void AddressUsage::Replace(ServiceId service, const ServiceTable* before,
                           const ServiceTable* after) {
  if (before != nullptr) {
    for (const auto& endpoint : before->endpoints()) {
      Release(service, endpoint.address);
    }
  }
  if (after != nullptr) {
    for (const auto& endpoint : after->endpoints()) {
      Hold(service, endpoint.address);
    }
  }
}

auto AddressUsage::quarantined() const -> std::shared_ptr<const AddressSet> {
  return std::make_shared<const AddressSet>(quarantined_);
}

void AddressUsage::Hold(ServiceId service, const SocketAddress& address) {
  auto& holders = holders_[address];
  if (std::find(holders.begin(), holders.end(), service) == holders.end()) {
    holders.push_back(service);
  }
  if (holders.size() > 1) {
    quarantined_.insert(address);
  }
}

void AddressUsage::Release(ServiceId service, const SocketAddress& address) {
  const auto found = holders_.find(address);
  if (found == holders_.end()) {
    return;
  }
  std::erase(found->second, service);
  if (found->second.size() <= 1) {
    quarantined_.erase(address);
  }
  if (found->second.empty()) {
    holders_.erase(found);
  }
}

}  // namespace hemlockwick
