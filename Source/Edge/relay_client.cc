#include "Edge/relay_client.h"

#include <utility>

#include "Edge/relay_codec.h"

namespace hemlockwick {

namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;

constexpr Duration kReportTimeout = std::chrono::milliseconds(500);

// Maximum number of reports that wait for the call in progress; further ones
// are dropped.
constexpr std::size_t kMaxPendingReports = 256;

}  // namespace

RelayClient::RelayClient(boost::asio::io_context& context,
                         const SocketAddress& address, const SystemClock& clock)
    : connection_(context, address),
      report_connection_(context, address),
      clock_(clock) {}

void RelayClient::Report(const HealthReports& reports) {
  if (!reports.reports.empty()) {
    pending_.from_peer = reports.from_peer;
  }
  if (reports.root) {
    pending_.root = reports.root;
  }
  for (const auto& report : reports.reports) {
    if (pending_.reports.size() < kMaxPendingReports) {
      pending_.reports.push_back(report);
    }
  }
  if (!is_reporting_) {
    SendReports();
  }
}

void RelayClient::ReportReplies(HealthReports reports) {
  pending_replies_ = std::move(reports);
  if (!is_reporting_) {
    SendReports();
  }
}

void RelayClient::SendReports() {
  is_reporting_ = true;
  auto& next = HasPendingReports() ? pending_ : pending_replies_;
  const auto target = FormatReports(std::exchange(next, {}));
  report_connection_.Get(target, kReportTimeout, [this](const HttpAnswer&) {
    is_reporting_ = false;
    if (HasPendingReports() || !pending_replies_.reports.empty()) {
      SendReports();
    }
  });
}

void RelayClient::Call(const SyncCall& call, const Watcher& self,
                       std::shared_ptr<const RouteSet> routes,
                       OnAnswer on_answer) {
  auto query = RelayQuery();
  query.watcher = self;
  if (call.kind == SyncCall::Kind::kWatch) {
    query.after = call.after;
  }
  query.version = routes == nullptr ? Version() : routes->version;
  query.wait = call.wait;
  is_calling_ = true;
  connection_.Get(FormatQuery(query), call.timeout,
                  [this, routes = std::move(routes),
                   on_answer = std::move(on_answer)](const HttpAnswer& answer) {
                    is_calling_ = false;
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
