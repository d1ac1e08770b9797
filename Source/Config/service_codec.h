#ifndef HEMLOCKWICK_CONFIG_SERVICE_CODEC_H_
#define HEMLOCKWICK_CONFIG_SERVICE_CODEC_H_

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "Config/fleet_config.h"

namespace hemlockwick {

// Encodes a service as compact JSON: contract fields with their default value
// are omitted, and endpoint sets refer to endpoints by position.
[[nodiscard]] auto ServiceToJson(const Service& service) -> nlohmann::json;

// Decodes a service. Throws nlohmann::json::exception, std::invalid_argument or
// std::out_of_range if `json` is malformed.
[[nodiscard]] auto ServiceFromJson(const nlohmann::json& json)
    -> std::shared_ptr<const Service>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_SERVICE_CODEC_H_
