#ifndef HEMLOCKWICK_CONFIG_CONTRACT_CODEC_H_
#define HEMLOCKWICK_CONFIG_CONTRACT_CODEC_H_

#include <nlohmann/json_fwd.hpp>

#include "Config/fleet_config.h"

namespace hemlockwick {

// JSON of a contract without the fields that have their default value.
[[nodiscard]] auto ContractToJson(const Contract& contract) -> nlohmann::json;

// Throws nlohmann::json::exception when the value is not that of a contract.
[[nodiscard]] auto ContractFromJson(const nlohmann::json& json) -> Contract;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_CONTRACT_CODEC_H_
