#ifndef HEMLOCKWICK_STANDIN_REQUEST_CALLER_H_
#define HEMLOCKWICK_STANDIN_REQUEST_CALLER_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Runtime/http_client.h"
#include "StandIn/fabric.h"
#include "StandIn/run_ledger.h"

namespace hemlockwick {

struct RequestTotals {
  std::size_t sent = 0;
  std::size_t answered = 0;
  std::size_t not_run = 0;        // Refused as not run, also after repeats.
  std::size_t unknown = 0;        // Outcome unknown.
  std::size_t wrong = 0;          // Another request's answer, or a part of it.
  std::size_t doubled = 0;        // Run more than once.
  std::size_t false_not_run = 0;  // Refused as not run, yet run.
  std::size_t lost = 0;           // Answered, yet not run.
};

// Stands in for callers with non-idempotent requests: each thread sends one
// after the other through the fabric, each with its own Idempotency-Key, and
// repeats what was refused as not run.
class RequestCaller {
 public:
  RequestCaller(Fabric& fabric, const RunLedger& ledger, std::string service,
                std::size_t threads);
  ~RequestCaller();
  RequestCaller(const RequestCaller&) = delete;
  auto operator=(const RequestCaller&) -> RequestCaller& = delete;

  // Ends the threads after their current requests; safe to call twice.
  void Stop();

  [[nodiscard]] auto totals() const -> RequestTotals;

 private:
  enum class End { kAnswered, kNotRun, kUnknown, kWrong };

  void Run(std::size_t thread, const std::stop_token& stop);
  auto SendOne(const std::string& key, std::size_t number) -> End;
  auto Try(const HttpRequest& request, const std::string& expected) -> End;
  void Count(const std::string& key, End end);

  Fabric& fabric_;
  const RunLedger& ledger_;
  const std::string service_;
  mutable std::mutex mutex_;
  RequestTotals totals_;
  std::vector<std::jthread> threads_;  // Last: they use the members above.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_STANDIN_REQUEST_CALLER_H_
