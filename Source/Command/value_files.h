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

// Reads a whole file. Fails with kNotFound if it cannot be read.
[[nodiscard]] auto ReadTextFile(const std::filesystem::path& path)
    -> Result<std::string>;

// Writes each value, in order, to the file below `folder` whose relative path
// is the key. Existing files are replaced atomically. Fails with kInternal.
[[nodiscard]] auto WriteValues(const std::filesystem::path& folder,
                               const std::vector<PublishedValue>& values)
    -> Result<void>;

// Reads a configuration that WriteValues has written. `path` is the folder or
// the index file in it.
[[nodiscard]] auto ReadValues(const std::filesystem::path& path)
    -> Result<std::shared_ptr<const FleetConfig>>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_COMMAND_VALUE_FILES_H_
