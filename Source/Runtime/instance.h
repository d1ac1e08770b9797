#ifndef HEMLOCKWICK_RUNTIME_INSTANCE_H_
#define HEMLOCKWICK_RUNTIME_INSTANCE_H_

#include <memory>

#include "Core/error.h"
#include "Runtime/settings.h"

namespace hemlockwick {

// An entry instance: its sockets, its threads and its fleet, flow and request
// planes.
class Instance {
 public:
  // Binds the addresses and starts. Fails with kAddressInUse if one of them is
  // in use.
  [[nodiscard]] static auto Start(const ServeSettings& settings)
      -> Result<std::unique_ptr<Instance>>;

  // Stops immediately. Requests in progress are answered with "outcome
  // unknown".
  ~Instance();
  Instance(const Instance&) = delete;
  auto operator=(const Instance&) -> Instance& = delete;

  // Begins a planned stop: announces it and starts handing over flows and
  // idempotency keys.
  void BeginLeave();

  // Answers all requests in progress with "outcome unknown" and closes the HTTP
  // listener. Afterwards the instance may only be destroyed.
  void Abort();

  // Whether the planned stop is complete: no request is in progress, flows and
  // keys are handed over and `leave_grace` has passed.
  [[nodiscard]] auto LeaveDone() const -> bool;

 private:
  class Impl;
  explicit Instance(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_INSTANCE_H_
