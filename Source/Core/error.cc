#include "Core/error.h"

#include <utility>

namespace hemlockwick {

auto Fail(ErrorCode code, std::string message, std::string remedy)
    -> boost::leaf::error_id {
  return boost::leaf::new_error(
      Error{code, std::move(message), std::move(remedy)});
}

}  // namespace hemlockwick
