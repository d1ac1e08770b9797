#ifndef HEMLOCKWICK_CONFIG_CONTRACT_RESOLVER_H_
#define HEMLOCKWICK_CONFIG_CONTRACT_RESOLVER_H_

#include "Config/name_index.h"
#include "Config/objects.h"
#include "Core/finding.h"

namespace hemlockwick {

// Returns the contract with the fields that it takes over from those it is
// based on. The chain must have no cycle.
[[nodiscard]] auto ResolveContract(const ContractObject& object,
                                   const NameIndex<ContractObject>& contracts)
    -> Contract;

// Replaces what `limits` states.
void ApplyLimits(const LimitsObject& limits, Contract& contract);

// Reports fields of a resolved contract that contradict one another.
void CheckContract(const ContractObject& object, const Contract& contract,
                   Findings& findings);

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_CONTRACT_RESOLVER_H_
