#include "Runtime/ulfius_scope.h"

#include <ulfius.h>

namespace hemlockwick {

namespace {

class UlfiusScope {
 public:
  UlfiusScope() { ulfius_global_init(); }
  ~UlfiusScope() { ulfius_global_close(); }
  UlfiusScope(const UlfiusScope&) = delete;
  auto operator=(const UlfiusScope&) -> UlfiusScope& = delete;
};

}  // namespace

void StartUlfiusOnce() { static const UlfiusScope scope; }

}  // namespace hemlockwick
