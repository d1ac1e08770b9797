#ifndef HEMLOCKWICK_RUNTIME_INSTANCE_H_
#define HEMLOCKWICK_RUNTIME_INSTANCE_H_

#include <memory>

#include "Core/error.h"
#include "Runtime/settings.h"

namespace hemlockwick {

// An entry instance: its sockets, threads and planes.
class Instance {
 public:
  // Binds the addresses and starts. Fails with kAddressInUse when one of them
  // is taken.
  [[nodiscard]] static auto Start(const ServeSettings& settings)
      -> Result<std::unique_ptr<Instance>>;

  // Stops at once; requests that still run end as "outcome unknown".
  ~Instance();
  Instance(const Instance&) = delete;
  auto operator=(const Instance&) -> Instance& = delete;

  // Announces a planned stop and begins to hand flows and keys over.
  void BeginLeave();

  // Answers every request that still runs as "outcome unknown" and closes the
  // HTTP listener. Only destruction may follow.
  void Abort();

  // Whether no request runs, everything is handed over and the grace time for
  // the fabric has passed.
  [[nodiscard]] auto LeaveDone() const -> bool;

 private:
  class Impl;
  explicit Instance(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_INSTANCE_H_
