#ifndef HEMLOCKWICK_COMMAND_VALUE_FILES_H_
#define HEMLOCKWICK_COMMAND_VALUE_FILES_H_

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "Config/fleet_config.h"
#include "Config/published_value.h"
#include "Core/error.h"

namespace hemlockwick {

// Reads a whole file. Fails with kNotFound or kInternal.
[[nodiscard]] auto ReadTextFile(const std::filesystem::path& path)
    -> Result<std::string>;

// Writes each value to the file that its key names below `folder`, in order,
// and replaces existing files whole. Fails with kInternal.
[[nodiscard]] auto WriteValues(const std::filesystem::path& folder,
                               const std::vector<PublishedValue>& values)
    -> Result<void>;

// Reads the configuration that WriteValues wrote below a folder; `path` is
// that folder or the file of the index in it.
[[nodiscard]] auto ReadValues(const std::filesystem::path& path)
    -> Result<std::shared_ptr<const FleetConfig>>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_COMMAND_VALUE_FILES_H_
