#include "StandIn/request_caller.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "Runtime/request_headers.h"
#include "Runtime/socket.h"
#include "StandIn/await.h"
#include "StandIn/request_endpoint.h"

namespace hemlockwick {

namespace {

constexpr auto kMaxTries = 40;
constexpr Duration kRetryInterval = std::chrono::milliseconds(100);
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr Duration kAnswerTimeout = std::chrono::seconds(15);

// Every twentieth request is a straggler.
constexpr std::size_t kStragglerInterval = 20;
constexpr auto kShortWork = "10";
constexpr auto kLongWork = "300";

constexpr int kOk = 200;

auto IsNotRun(const HttpResponse& response) -> bool {
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  return body.is_object() && body.value("outcome", "") == "not_run";
}

}  // namespace

RequestCaller::RequestCaller(Fabric& fabric, const RunLedger& ledger,
                             std::string service, std::size_t threads)
    : fabric_(fabric), ledger_(ledger), service_(std::move(service)) {
  for (auto thread = std::size_t{0}; thread < threads; ++thread) {
    threads_.emplace_back(
        [this, thread](const std::stop_token& stop) { Run(thread, stop); });
  }
}

RequestCaller::~RequestCaller() { Stop(); }

void RequestCaller::Stop() {
  for (auto& thread : threads_) {
    thread.request_stop();
  }
  threads_.clear();
}

auto RequestCaller::totals() const -> RequestTotals {
  const auto lock = std::lock_guard(mutex_);
  return totals_;
}

void RequestCaller::Run(std::size_t thread, const std::stop_token& stop) {
  for (auto number = std::size_t{1}; !stop.stop_requested(); ++number) {
    const auto key = std::to_string(thread) + "-" + std::to_string(number);
    Count(key, SendOne(key, number));
  }
}

auto RequestCaller::SendOne(const std::string& key, std::size_t number) -> End {
  auto request = HttpRequest();
  request.method = "POST";
  request.path = "/orders";
  request.headers["Host"] = service_;
  request.headers[kKeyHeader] = key;
  request.headers[kWorkHeader] =
      number % kStragglerInterval == 0 ? kLongWork : kShortWork;
  request.body = "order " + key;
  request.timeout = kAnswerTimeout;
  auto end = End::kNotRun;
  for (auto tries = 0; tries < kMaxTries && end == End::kNotRun; ++tries) {
    if (tries > 0) {
      std::this_thread::sleep_for(kRetryInterval);
    }
    end = Try(request, key + " " + request.body);
  }
  return end;
}

auto RequestCaller::Try(const HttpRequest& request, const std::string& expected)
    -> End {
  const auto target = fabric_.Pick();
  if (!target || !CanConnect(target->http, kConnectTimeout)) {
    return End::kNotRun;
  }
  return TryOr(
      [&]() -> Result<End> {
        BOOST_LEAF_AUTO(response, SendHttp(target->http, request));
        if (response.status == kOk) {
          return response.body == expected ? End::kAnswered : End::kWrong;
        }
        return IsNotRun(response) ? End::kNotRun : End::kUnknown;
      },
      [](const Error&) { return End::kUnknown; });
}

void RequestCaller::Count(const std::string& key, End end) {
  const auto runs = ledger_.RunsOf(key);
  const auto lock = std::lock_guard(mutex_);
  ++totals_.sent;
  totals_.answered += end == End::kAnswered ? 1 : 0;
  totals_.not_run += end == End::kNotRun ? 1 : 0;
  totals_.unknown += end == End::kUnknown ? 1 : 0;
  totals_.wrong += end == End::kWrong ? 1 : 0;
  totals_.doubled += runs > 1 ? 1 : 0;
  totals_.false_not_run += end == End::kNotRun && runs > 0 ? 1 : 0;
  totals_.lost += end == End::kAnswered && runs == 0 ? 1 : 0;
}

}  // namespace hemlockwick
