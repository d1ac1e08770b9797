#include "Measure/text_file.h"

#include <fstream>

namespace hemlockwick {

auto WriteTextFile(const std::string& path, std::string_view text)
    -> Result<void> {
  auto out = std::ofstream(path);
  out << text;
  out.close();
  if (!out) {
    return Fail(ErrorCode::kInternal, "cannot write '" + path + "'",
                "give a path in a folder that exists");
  }
  return {};
}

}  // namespace hemlockwick
