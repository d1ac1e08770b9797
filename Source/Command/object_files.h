#ifndef HEMLOCKWICK_COMMAND_OBJECT_FILES_H_
#define HEMLOCKWICK_COMMAND_OBJECT_FILES_H_

#include <filesystem>
#include <string>
#include <vector>

#include "Config/object_reader.h"
#include "Core/error.h"

namespace hemlockwick {

// Maximum number of threads that parse object files.
inline constexpr std::size_t kMaxReaderThreads = 4;

// The text of an object file, with the name shown in findings.
struct ObjectFile {
  std::string name;
  std::string text;
};

// Reads the input files and, for each input that is a folder, the *.yaml and
// *.yml files below it, sorted by path. Each file is read once. Fails with
// kNotFound.
[[nodiscard]] auto LoadObjectFiles(const std::vector<std::string>& inputs)
    -> Result<std::vector<ObjectFile>>;

// Parses the files on several threads. The result is the same as that of one
// reader that reads them in order.
[[nodiscard]] auto ParseObjectFiles(const std::vector<ObjectFile>& files)
    -> ObjectReader;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_COMMAND_OBJECT_FILES_H_
