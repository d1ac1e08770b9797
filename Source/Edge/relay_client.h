#ifndef HEMLOCKWICK_EDGE_RELAY_CLIENT_H_
#define HEMLOCKWICK_EDGE_RELAY_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "Core/net_address.h"
#include "Edge/directory_sync.h"
#include "Edge/http_connection.h"
#include "Edge/relay_call.h"
#include "Runtime/system_clock.h"

namespace hemlockwick {

// Client of one relay. Makes one call for the directory at a time.
class RelayClient {
 public:
  // Called once for each call, on the thread of the I/O context. `error` is the
  // reason when the call has failed.
  using OnAnswer = std::function<void(SyncAnswer, std::string error)>;

  // The clock must outlive the client.
  RelayClient(boost::asio::io_context& context, const SocketAddress& address,
              const SystemClock& clock);

  // Sends health reports; failures are ignored. Reports that are added while
  // such a call is in progress are sent together by the next one.
  void Report(const HealthReports& reports);

  // Sends the reply statistics in `reports` by a call of their own: together
  // with other reports they could exceed the 8 KB that a listener accepts for
  // the header of a request. Failures are ignored, and statistics that still
  // wait for the call in progress are replaced, so none counts twice.
  void ReportReplies(HealthReports reports);

  // Reads or watches the directory for the instance `self`, which holds
  // `routes`; null when it holds none.
  void Call(const SyncCall& call, const Watcher& self,
            std::shared_ptr<const RouteSet> routes, OnAnswer on_answer);

  // Whether a call is in progress.
  [[nodiscard]] auto is_busy() const -> bool {
    return is_calling_ || is_reporting_;
  }

 private:
  void SendReports();
  // Whether health reports or a root's count wait for the next call.
  [[nodiscard]] auto HasPendingReports() const -> bool {
    return !pending_.reports.empty() || pending_.root;
  }
  auto Decode(const HttpAnswer& answer, const RouteSet* routes,
              std::string& error) const -> SyncAnswer;

  HttpConnection connection_;
  HttpConnection report_connection_;
  HealthReports pending_;
  HealthReports pending_replies_;
  bool is_reporting_ = false;
  bool is_calling_ = false;
  const SystemClock& clock_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_RELAY_CLIENT_H_
