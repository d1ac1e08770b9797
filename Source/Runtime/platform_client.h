#ifndef HEMLOCKWICK_RUNTIME_PLATFORM_CLIENT_H_
#define HEMLOCKWICK_RUNTIME_PLATFORM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "Core/net_address.h"
#include "Fleet/fleet_node.h"

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

  // Drops the answers to reads that still wait. Does not wait for them, since
  // a watch may last long; their threads end by themselves.
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  auto operator=(const PlatformClient&) -> PlatformClient& = delete;

  // Returns at once.
  void Read(const PlatformRead& read);

 private:
  // Outlives the client while a read waits.
  struct SharedState;

  const SocketAddress address_;
  const std::shared_ptr<SharedState> shared_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_PLATFORM_CLIENT_H_
