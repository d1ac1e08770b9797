#include "StandIn/request_endpoint.h"

#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "Runtime/request_headers.h"
#include "Runtime/socket.h"
#include "StandIn/loopback.h"

namespace hemlockwick {

namespace {

constexpr std::size_t kSlots = 3;
constexpr auto kColdFactor = 4;
constexpr int kOk = 200;
constexpr int kCancelled = 499;

auto Header(const HttpRequest& request, const char* name) -> std::string {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? std::string() : found->second;
}

}  // namespace

RequestEndpoint::RequestEndpoint(std::string name, RunLedger& ledger)
    : name_(std::move(name)), ledger_(ledger) {}

RequestEndpoint::~RequestEndpoint() = default;

auto RequestEndpoint::Start(std::string name, RunLedger& ledger)
    -> Result<std::unique_ptr<RequestEndpoint>> {
  auto result = std::unique_ptr<RequestEndpoint>(
      new RequestEndpoint(std::move(name), ledger));
  BOOST_LEAF_AUTO(listener, ListenTcp(AnyLoopbackPort()));
  BOOST_LEAF_ASSIGN(result->server_,
                    HttpServer::Start(std::move(listener), {},
                                      [self = result.get()](const auto& call) {
                                        return self->Answer(call);
                                      }));
  return result;
}

auto RequestEndpoint::address() const -> SocketAddress {
  return server_->address();
}

void RequestEndpoint::SetDraining(bool draining) {
  const auto lock = std::lock_guard(mutex_);
  draining_ = draining;
}

void RequestEndpoint::SetCold(std::uint64_t runs) {
  const auto lock = std::lock_guard(mutex_);
  cold_runs_ = runs;
}

void RequestEndpoint::SetReporting(LoadReporting reporting) {
  const auto lock = std::lock_guard(mutex_);
  reporting_ = reporting;
}

auto RequestEndpoint::runs() const -> std::uint64_t {
  const auto lock = std::lock_guard(mutex_);
  return runs_;
}

auto RequestEndpoint::sheds() const -> std::uint64_t {
  const auto lock = std::lock_guard(mutex_);
  return sheds_;
}

auto RequestEndpoint::Answer(const HttpCall& call) -> HttpResponse {
  const auto& request = call.request;
  if (request.path == kCancelPath) {
    return Cancel(Header(request, kRequestIdHeader));
  }
  auto lock = std::unique_lock(mutex_);
  if (draining_ || busy_ >= kSlots) {
    ++sheds_;
    return {kStatusUnavailable,
            {{kOutcomeHeader, "not_run"}, {kLoadHeader, Report()}},
            {}};
  }
  return Run(request, lock);
}

auto RequestEndpoint::Run(const HttpRequest& request,
                          std::unique_lock<std::mutex>& lock) -> HttpResponse {
  const auto key = Header(request, kKeyHeader);
  const auto id = Header(request, kRequestIdHeader);
  auto work = std::chrono::milliseconds(
      std::strtol(Header(request, kWorkHeader).c_str(), nullptr, 10));
  if (cold_runs_ > 0) {
    --cold_runs_;
    work *= kColdFactor;
  }
  ++busy_;
  ++runs_;
  ledger_.Add(key);
  const auto stopped = cancelled_.wait_for(
      lock, work, [&] { return cancelled_ids_.contains(id); });
  cancelled_ids_.erase(id);
  --busy_;
  if (stopped) {
    return {kCancelled, {{kLoadHeader, Report()}}, {}};
  }
  return {kOk,
          {{kLoadHeader, Report()}, {"x-endpoint", name_}},
          key + " " + request.body};
}

auto RequestEndpoint::Cancel(const std::string& id) -> HttpResponse {
  {
    const auto lock = std::lock_guard(mutex_);
    if (busy_ > 0) {
      cancelled_ids_.insert(id);
    }
  }
  cancelled_.notify_all();
  return {kOk, {}, {}};
}

auto RequestEndpoint::Report() -> std::string {
  const auto busy = reporting_ == LoadReporting::kAlwaysIdle ? 0
                    : reporting_ == LoadReporting::kLagging  ? reported_busy_
                                                             : busy_;
  reported_busy_ = busy_;
  const auto report = nlohmann::json{
      {"application_utilization", static_cast<double>(busy) / kSlots},
      {"named_metrics", {{"queued", 0}}}};
  return "JSON " + report.dump();
}

}  // namespace hemlockwick
