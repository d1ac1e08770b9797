#ifndef HEMLOCKWICK_MEASURE_TEXT_FILE_H_
#define HEMLOCKWICK_MEASURE_TEXT_FILE_H_

#include <string>
#include <string_view>

#include "Core/error.h"

namespace hemlockwick {

// Writes a whole file. Fails with kInternal.
[[nodiscard]] auto WriteTextFile(const std::string& path, std::string_view text)
    -> Result<void>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_TEXT_FILE_H_
