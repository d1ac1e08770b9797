#ifndef HEMLOCKWICK_REQUEST_WORK_CLASS_H_
#define HEMLOCKWICK_REQUEST_WORK_CLASS_H_

#include <cstdint>

#include "Config/fleet_config.h"

namespace hemlockwick {

// Classes of work that are scheduled separately.
enum class WorkClass : std::uint8_t { kShort, kLong };

// Returns the class of a request by the declared length of its body.
[[nodiscard]] constexpr auto ClassOf(const Contract& contract,
                                     std::uint64_t body_bytes) -> WorkClass {
  return body_bytes >= contract.long_body_bytes ? WorkClass::kLong
                                                : WorkClass::kShort;
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_WORK_CLASS_H_
