#ifndef HEMLOCKWICK_STANDIN_PLATFORM_H_
#define HEMLOCKWICK_STANDIN_PLATFORM_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Core/error.h"
#include "Core/time.h"
#include "Runtime/http_server.h"
#include "Runtime/system_clock.h"

namespace hemlockwick {

// Stands in for the platform's configuration service: values that can be read
// and watched over HTTP. Its owner changes values and makes it misbehave.
class PlatformStandIn {
 public:
  [[nodiscard]] static auto Start() -> Result<std::unique_ptr<PlatformStandIn>>;
  ~PlatformStandIn();
  PlatformStandIn(const PlatformStandIn&) = delete;
  auto operator=(const PlatformStandIn&) -> PlatformStandIn& = delete;

  [[nodiscard]] auto address() const -> SocketAddress;

  void Set(const std::string& key, std::string body);

  // New values become visible this long after they were set.
  void SetLag(Duration lag);

  // While stale, values set from now on stay invisible.
  void SetStale(bool stale);

  // Forgets the latest value of a key.
  void RollBack(const std::string& key);

  // While away, every call fails.
  void SetAway(bool away);

  // Calls so far; a waiting watch counts as one.
  [[nodiscard]] auto calls() const -> std::uint64_t;

 private:
  struct Value {
    std::uint64_t index = 0;
    TimePoint visible_from;
    std::string body;
  };

  PlatformStandIn() = default;
  auto Answer(const HttpCall& call) -> HttpResponse;
  [[nodiscard]] auto Visible(const std::string& key) const -> const Value*;
  void Change(auto&& change);

  const SystemClock clock_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<Value>> values_;
  std::uint64_t last_index_ = 0;
  std::uint64_t calls_ = 0;
  Duration lag_{0};
  bool stale_ = false;
  bool away_ = false;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_STANDIN_PLATFORM_H_
