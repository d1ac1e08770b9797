#ifndef HEMLOCKWICK_CONFIG_SERVICE_CODEC_H_
#define HEMLOCKWICK_CONFIG_SERVICE_CODEC_H_

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "Config/fleet_config.h"

namespace hemlockwick {

// Compact JSON of services. Fields that have their default value are left
// out, and an endpoint of an earlier set is named by its position.
[[nodiscard]] auto ServiceToJson(const Service& service) -> nlohmann::json;

// Throws nlohmann::json::exception or std::invalid_argument when the value is
// not the JSON of a service.
[[nodiscard]] auto ServiceFromJson(const nlohmann::json& json)
    -> std::shared_ptr<const Service>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_SERVICE_CODEC_H_
