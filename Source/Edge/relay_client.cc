#include "Edge/relay_client.h"

#include <utility>
namespace hemlockwick {

namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;

constexpr Duration kReportTimeout = std::chrono::milliseconds(500);

}  // namespace

RelayClient::RelayClient(boost::asio::io_context& context,
                         const SocketAddress& address, const SystemClock& clock)
    : connection_(context, address),
      reports_(context, address),
      clock_(clock) {}

void RelayClient::Report(const SignReport& report) {
  waiting_.reporter = report.reporter;
  waiting_.news.Merge(report.news);
  if (!is_reporting_) {
    SendReport();
  }
}

void RelayClient::SendReport() {
  is_reporting_ = true;
  const auto target = FormatReport(waiting_);
  waiting_.news = {};
  reports_.Get(target, kReportTimeout, [this](const HttpAnswer&) {
    is_reporting_ = false;
    if (!waiting_.news.empty()) {
      SendReport();
    }
  });
}

void RelayClient::Call(const SyncCall& call,
                       std::shared_ptr<const RouteSet> routes,
                       OnAnswer on_answer) {
  auto query = RelayQuery();
  if (call.kind == SyncCall::Kind::kWatch) {
    query.after = call.after;
  }
  query.version = routes == nullptr ? Version() : routes->version;
  query.wait = call.wait;
  connection_.Get(FormatQuery(query), call.timeout,
                  [this, routes = std::move(routes),
                   on_answer = std::move(on_answer)](const HttpAnswer& answer) {
                    auto error = std::string();
                    auto decoded = Decode(answer, routes.get(), error);
                    on_answer(std::move(decoded), std::move(error));
                  });
}

auto RelayClient::Decode(const HttpAnswer& answer, const RouteSet* routes,
                         std::string& error) const -> SyncAnswer {
  if (answer.status == kOk) {
    return TryOr(
        [&] { return DecodeUpdate(answer.body, routes, clock_.Now()); },
        [&error](const Error& cause) {
          error = cause.message;
          return SyncAnswer();
        });
  }
  auto result = SyncAnswer();
  if (answer.status == 0) {
    error = answer.error;
    return result;
  }
  error = "status " + std::to_string(answer.status);
  result.status =
      answer.status == kGone ? SyncStatus::kHistoryLost : SyncStatus::kRefused;
  return result;
}

}  // namespace hemlockwick
