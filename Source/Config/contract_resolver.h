#ifndef HEMLOCKWICK_CONFIG_CONTRACT_RESOLVER_H_
#define HEMLOCKWICK_CONFIG_CONTRACT_RESOLVER_H_

#include "Config/name_index.h"
#include "Config/objects.h"
#include "Core/finding.h"

namespace hemlockwick {

// Returns the contract with the fields that it inherits through `based_on`;
// fields that no contract of the chain sets get their default value. The chain
// must not contain a cycle.
[[nodiscard]] auto ResolveContract(const ContractObject& object,
                                   const NameIndex<ContractObject>& contracts)
    -> Contract;

// Overwrites the fields of `contract` that `limits` sets.
void ApplyLimits(const LimitsObject& limits, Contract& contract);

// Reports fields of a resolved contract that contradict one another.
void CheckContract(const ContractObject& object, const Contract& contract,
                   Findings& findings);

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_CONTRACT_RESOLVER_H_
