#ifndef HEMLOCKWICK_STANDIN_REQUEST_ENDPOINT_H_
#define HEMLOCKWICK_STANDIN_REQUEST_ENDPOINT_H_

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "Core/error.h"
#include "Runtime/http_server.h"
#include "StandIn/run_ledger.h"

namespace hemlockwick {

// Caller to endpoint stand-in: how long the work takes, in milliseconds.
inline constexpr const char* kWorkHeader = "x-work-ms";

enum class LoadReporting {
  kHonest,
  kAlwaysIdle,  // Claims to have every slot free.
  kLagging,     // Reports the load at the answer before.
};

// Stands in for an HTTP endpoint with a few work slots. Sheds what finds no
// free slot, runs slowly while cold, and stops cancelled work.
class RequestEndpoint {
 public:
  [[nodiscard]] static auto Start(std::string name, RunLedger& ledger)
      -> Result<std::unique_ptr<RequestEndpoint>>;
  ~RequestEndpoint();
  RequestEndpoint(const RequestEndpoint&) = delete;
  auto operator=(const RequestEndpoint&) -> RequestEndpoint& = delete;

  [[nodiscard]] auto address() const -> SocketAddress;
  [[nodiscard]] auto name() const -> const std::string& { return name_; }

  // While draining, every new request is shed.
  void SetDraining(bool draining);

  // The next `runs` requests take several times longer.
  void SetCold(std::uint64_t runs);
  void SetReporting(LoadReporting reporting);

  [[nodiscard]] auto runs() const -> std::uint64_t;
  [[nodiscard]] auto sheds() const -> std::uint64_t;

 private:
  RequestEndpoint(std::string name, RunLedger& ledger);
  auto Answer(const HttpCall& call) -> HttpResponse;
  auto Run(const HttpRequest& request, std::unique_lock<std::mutex>& lock)
      -> HttpResponse;
  auto Cancel(const std::string& id) -> HttpResponse;
  auto Report() -> std::string;

  const std::string name_;
  RunLedger& ledger_;
  mutable std::mutex mutex_;
  std::condition_variable cancelled_;
  std::set<std::string> cancelled_ids_;
  std::size_t busy_ = 0;
  std::size_t reported_busy_ = 0;
  std::uint64_t runs_ = 0;
  std::uint64_t sheds_ = 0;
  std::uint64_t cold_runs_ = 0;
  bool draining_ = false;
  LoadReporting reporting_ = LoadReporting::kHonest;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_STANDIN_REQUEST_ENDPOINT_H_
