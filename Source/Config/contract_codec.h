#ifndef HEMLOCKWICK_CONFIG_CONTRACT_CODEC_H_
#define HEMLOCKWICK_CONFIG_CONTRACT_CODEC_H_

#include <nlohmann/json_fwd.hpp>

#include "Config/fleet_config.h"

namespace hemlockwick {

// Encodes a contract. Fields with their default value are omitted.
[[nodiscard]] auto ContractToJson(const Contract& contract) -> nlohmann::json;

// Decodes a contract; omitted fields get their default value. Throws
// nlohmann::json::exception if `json` is malformed.
[[nodiscard]] auto ContractFromJson(const nlohmann::json& json) -> Contract;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_CONTRACT_CODEC_H_
