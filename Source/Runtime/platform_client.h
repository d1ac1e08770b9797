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

// Reads and watches values of the platform's configuration service by
// GET /v1/values/KEY?after=INDEX&wait_ms=MILLISECONDS, which is answered with
// 200, the value and its index; 304 if the value has not changed; or 404 if
// there is none.
class PlatformClient {
 public:
  using OnAnswer = std::function<void(PlatformAnswer)>;

  // `on_answer` is called once for each read, on any thread.
  PlatformClient(SocketAddress address, OnAnswer on_answer);

  // Discards the answers to reads in progress. Does not wait for them, because
  // a watch may take long; their threads end on their own.
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  auto operator=(const PlatformClient&) -> PlatformClient& = delete;

  // Does not block.
  void Read(const PlatformRead& read);

 private:
  // Outlives the client while reads are in progress.
  struct SharedState;

  const SocketAddress address_;
  const std::shared_ptr<SharedState> shared_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_PLATFORM_CLIENT_H_
