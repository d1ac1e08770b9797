#include "Runtime/ulfius_headers.h"

#include <ulfius.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace hemlockwick {

auto ReadHeaders(const _u_map& headers) -> std::map<std::string, std::string> {
  auto result = std::map<std::string, std::string>();
  for (auto index = 0; index < headers.nb_values; ++index) {
    auto name = std::string(headers.keys[index]);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) {
                     return static_cast<char>(std::tolower(letter));
                   });
    result[std::move(name)] = headers.values[index];
  }
  return result;
}

}  // namespace hemlockwick
