#include "Config/contract_resolver.h"

#include <optional>
#include <utility>

namespace hemlockwick {

namespace {

template <typename T, typename Field>
void ApplyIfSet(const std::optional<T>& specified, Field& field) {
  if (specified) {
    field = *specified;
  }
}

}  // namespace

auto ResolveContract(const ContractObject& object,
                     const NameIndex<ContractObject>& contracts) -> Contract {
  auto chain = std::vector<const ContractObject*>{&object};
  while (chain.back()->based_on) {
    const auto* const base = contracts.Find(chain.back()->based_on->name);
    if (base == nullptr) {
      break;
    }
    chain.push_back(base);
  }
  auto contract = Contract();
  for (auto at = chain.rbegin(); at != chain.rend(); ++at) {
    const auto& specified = **at;
    ApplyIfSet(specified.default_deadline, contract.default_deadline);
    ApplyIfSet(specified.max_deadline, contract.max_deadline);
    ApplyIfSet(specified.short_bound, contract.short_bound);
    ApplyIfSet(specified.long_body, contract.long_body_bytes);
    ApplyIfSet(specified.max_body, contract.max_body_bytes);
    ApplyIfSet(specified.key_memory, contract.key_memory);
    ApplyIfSet(specified.may_spill, contract.may_spill);
  }
  contract.name = object.name;
  return contract;
}

void ApplyLimits(const LimitsObject& limits, Contract& contract) {
  ApplyIfSet(limits.max_requests_per_second, contract.max_requests_per_second);
  ApplyIfSet(limits.max_queue, contract.max_queue);
  ApplyIfSet(limits.retry_ratio, contract.retry_ratio);
}

void CheckContract(const ContractObject& object, const Contract& contract,
                   Findings& findings) {
  const auto report = [&](std::string problem, std::string remedy) {
    findings.push_back(Finding{Severity::kError, object.place,
                               "contract " + object.name, std::move(problem),
                               std::move(remedy)});
  };
  if (contract.default_deadline > contract.max_deadline) {
    report("default_deadline is above max_deadline",
           "raise max_deadline or lower default_deadline");
  }
  if (contract.short_bound > contract.default_deadline) {
    report("short_bound is above default_deadline",
           "lower short_bound to what short work needs");
  }
  if (contract.long_body_bytes > contract.max_body_bytes) {
    report("long_body is above max_body", "raise max_body or lower long_body");
  }
}

}  // namespace hemlockwick
