#ifndef HEMLOCKWICK_RUNTIME_PLATFORM_CLIENT_H_
#define HEMLOCKWICK_RUNTIME_PLATFORM_CLIENT_H_

#include <cstdint>
#include <functional>

#include "Core/net_address.h"
#include "Fleet/fleet_node.h"
#include "Runtime/task_pool.h"

namespace hemlockwick {

// Response header that carries the index of a value.
inline constexpr const char* kValueIndexHeader = "x-value-index";

// Reads and watches values of the platform's configuration service:
// GET /v1/values/KEY?after=INDEX&wait_ms=MILLISECONDS answers 200 with the
// value and its index, 304 when it is unchanged, 404 when there is none.
class PlatformClient {
 public:
  using OnAnswer = std::function<void(PlatformAnswer)>;

  // `on_answer` runs on any thread, once for each read.
  PlatformClient(SocketAddress address, OnAnswer on_answer);

  // Returns at once.
  void Read(const PlatformRead& read);

 private:
  [[nodiscard]] auto Fetch(const PlatformRead& read) const -> PlatformAnswer;

  const SocketAddress address_;
  const OnAnswer on_answer_;
  TaskPool pool_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_PLATFORM_CLIENT_H_
