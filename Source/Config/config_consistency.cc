#include "Config/config_consistency.h"

#include <algorithm>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace hemlockwick {

namespace {

struct AddressUse {
  SocketAddress address;
  const Service* service;
};

void Add(Findings& findings, std::string object, std::string problem) {
  findings.push_back(
      Finding{Severity::kError, {}, std::move(object), std::move(problem), {}});
}

auto NameOf(const Service& service) -> std::string {
  return "service " + service.name;
}

void CheckService(const Service& service,
                  const std::unordered_set<DataCentreId>& data_centres,
                  Findings& findings) {
  if (service.bucket_count == 0) {
    Add(findings, NameOf(service), "has no buckets");
  }
  if (service.flow_lifetime <= Duration::zero() ||
      service.idle_timeout <= Duration::zero()) {
    Add(findings, NameOf(service), "has a lifetime that is not positive");
  }
  const auto not_rising = [](const Endpoint& left, const Endpoint& right) {
    return left.id >= right.id;
  };
  if (std::adjacent_find(service.endpoints.begin(), service.endpoints.end(),
                         not_rising) != service.endpoints.end()) {
    Add(findings, NameOf(service), "has endpoints that are not sorted by id");
  }
  for (const auto& endpoint : service.endpoints) {
    if (!data_centres.contains(endpoint.data_centre)) {
      Add(findings, NameOf(service),
          "has endpoint " + endpoint.name + " in an unknown data centre");
    }
  }
}

void CheckServiceIds(const FleetConfig& config, Findings& findings) {
  for (std::size_t at = 1; at < config.services.size(); ++at) {
    if (config.services[at - 1]->id == config.services[at]->id) {
      Add(findings, NameOf(*config.services[at]), "appears twice");
    }
  }
}

void CheckAddresses(std::vector<AddressUse> uses, const std::string& role,
                    Findings& findings) {
  std::sort(uses.begin(), uses.end(),
            [](const AddressUse& left, const AddressUse& right) {
              return left.address < right.address;
            });
  for (std::size_t at = 1; at < uses.size(); ++at) {
    if (uses[at - 1].address == uses[at].address) {
      Add(findings, NameOf(*uses[at].service),
          role + " " + ToString(uses[at].address) +
              " is also used by service " + uses[at - 1].service->name);
    }
  }
}

}  // namespace

auto CheckConsistency(const FleetConfig& config) -> Findings {
  auto findings = Findings();
  auto data_centres = std::unordered_set<DataCentreId>();
  for (const auto& data_centre : config.data_centres) {
    if (!data_centres.insert(data_centre.id).second) {
      Add(findings, "data_centre " + data_centre.name, "appears twice");
    }
  }
  auto service_uses = std::vector<AddressUse>();
  auto endpoint_uses = std::vector<AddressUse>();
  service_uses.reserve(config.services.size());
  for (const auto& service : config.services) {
    CheckService(*service, data_centres, findings);
    service_uses.push_back(AddressUse{service->address, service.get()});
    for (const auto& endpoint : service->endpoints) {
      endpoint_uses.push_back(AddressUse{endpoint.address, service.get()});
    }
  }
  CheckServiceIds(config, findings);
  CheckAddresses(std::move(service_uses), "service address", findings);
  CheckAddresses(std::move(endpoint_uses), "endpoint address", findings);
  return findings;
}

}  // namespace hemlockwick
