#include "Runtime/ulfius_init.h"

#include <ulfius.h>

namespace hemlockwick {

// Ulfius is not closed again: reads of the platform may still wait when the
// process ends.
void InitUlfiusOnce() {
  static const auto status = ulfius_global_init();
  static_cast<void>(status);
}

}  // namespace hemlockwick
