#include "Runtime/ulfius_init.h"

#include <ulfius.h>

namespace hemlockwick {

// Ulfius is never closed, because reads of the platform may still be in
// progress when the process ends.
void InitUlfiusOnce() {
  static const auto status = ulfius_global_init();
  static_cast<void>(status);
}

}  // namespace hemlockwick
