#ifndef HEMLOCKWICK_FLOW_ADDRESS_USAGE_H_
#define HEMLOCKWICK_FLOW_ADDRESS_USAGE_H_

#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "Core/ids.h"
#include "Core/net_address.h"
#include "Flow/service_table.h"

namespace hemlockwick {

using AddressSet = std::unordered_set<SocketAddress>;

// Tracks which services use an endpoint address, now or through open flows of
// an earlier endpoint set. An address that two services use is quarantined: no
// packet of either service is sent to it.
class AddressUsage {
 public:
  // Replaces the addresses of a service, those of `before` by those of `after`.
  // A null table has no addresses.
  void Replace(ServiceId service, const ServiceTable* before,
               const ServiceTable* after);

  // The addresses that more than one service uses.
  [[nodiscard]] auto quarantined() const -> std::shared_ptr<const AddressSet>;

 private:
  void Hold(ServiceId service, const SocketAddress& address);
  void Release(ServiceId service, const SocketAddress& address);

  std::unordered_map<SocketAddress, std::vector<ServiceId>> holders_;
  AddressSet quarantined_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_ADDRESS_USAGE_H_
