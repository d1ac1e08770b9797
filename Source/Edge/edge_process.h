#ifndef HEMLOCKWICK_EDGE_EDGE_PROCESS_H_
#define HEMLOCKWICK_EDGE_EDGE_PROCESS_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "Core/error.h"
#include "Edge/directory_replica.h"
#include "Edge/directory_source.h"
#include "Edge/edge_forwarder.h"
#include "Edge/edge_metrics.h"
#include "Edge/edge_settings.h"
#include "Edge/http_listener.h"
#include "Edge/relay_call.h"
#include "Edge/relay_clients.h"
#include "Edge/settings_reloader.h"
#include "Runtime/log.h"
#include "Runtime/settings.h"
#include "Runtime/socket.h"
#include "Runtime/stop_signals.h"
#include "Runtime/system_clock.h"

namespace hemlockwick {

// The sockets of an edge process, bound before any other part starts.
struct EdgeSockets {
  FileDescriptor packet;
  FileDescriptor http;
  FileDescriptor metrics;  // Invalid when the settings name no address.
  FileDescriptor relay;    // The same as for `metrics`.

  // Fails with kAddressInUse when one of the addresses is taken.
  [[nodiscard]] static auto Open(const ServeSettings& settings)
      -> Result<EdgeSockets>;
};

// An edge process: forwards packets of flows whose token names their endpoint,
// by the directory of endpoints that it reads from the platform or a relay. Run
// is the control thread; a second thread forwards packets.
template <PacketCodec Codec, DirectorySource Source>
class EdgeProcess {
 public:
  EdgeProcess(std::string settings_file, const ServeSettings& settings,
              EdgeSockets sockets)
      : settings_(settings),
        settings_reloader_(std::move(settings_file), settings),
        replica_(SyncSettingsOf(settings), RelayCapacityOf(settings), metrics_,
                 clock_.Now()),
        seeds_(SeedsOf(settings)),
        relay_clients_(context_, clock_),
        source_(context_, settings.platform, clock_),
        forwarder_(
            std::move(sockets.packet),
            TokenRouterSettings{
                .data_centre = IdFromName<DataCentreId>(settings.data_centre),
                .instance = IdFromName<InstanceId>(settings.name),
                .learns_capacity = LearnsCapacity(settings),
                .cold_start = {settings.cold_overage, settings.cold_slack}},
            replica_.snapshots(), replica_.mailbox(), metrics_, clock_),
        http_(context_, std::move(sockets.http), StatusHandler()),
        call_timer_(context_),
        tick_timer_(context_),
        signals_(context_, SIGTERM, SIGINT, SIGHUP) {
    if (sockets.metrics.valid()) {
      metrics_listener_.emplace(context_, std::move(sockets.metrics),
                                StatusHandler());
    }
    if (sockets.relay.valid()) {
      relay_listener_.emplace(
          context_, std::move(sockets.relay),
          [this](const std::string& target, const HttpListener::Reply& reply) {
            ServeRelay(target, reply);
          });
    }
  }

  // Runs until a stop signal has arrived and the process has drained, or a
  // second stop signal arrives.
  void Run() {
    WaitForSignal();
    UnblockStopSignals();
    ScheduleCall();
    Tick();
    context_.run();
    traffic_thread_ = std::jthread();
  }

 private:
  // Interval of periodic work on the control thread.
  static constexpr auto kTickInterval = std::chrono::milliseconds(200);

  // A draining process that has received no packet for this long is out of
  // rotation.
  static constexpr Duration kQuietPeriod = std::chrono::milliseconds(700);

  void ScheduleCall() {
    const auto& call = replica_.next_call();
    const auto now = clock_.Now();
    if (call.at <= now) {
      MakeCall(call);
      return;
    }
    call_timer_.expires_after(call.at - now);
    call_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        MakeCall(replica_.next_call());
      }
    });
  }

  void MakeCall(const SyncCall& call) {
    const auto called_at = clock_.Now();
    auto on_answer = [this, called_at](const SyncAnswer& answer,
                                       const std::string& error) {
      const auto now = clock_.Now();
      metrics_.CountCall(answer.status, now - called_at);
      replica_.OnAnswer(answer, error, called_at, now);
      StartTraffic();
      ScheduleCall();
    };
    if (call.relay) {
      relay_clients_.At(*call.relay, called_at)
          .Call(call, replica_.Self(called_at), replica_.routes(), on_answer);
    } else {
      source_.Call(call, on_answer);
    }
  }

  // Adds this instance's health observations to the reports of its watchers,
  // and sends all of them upstream.
  void ExchangeHealthReports(TimePoint now) {
    auto observations = replica_.mailbox().TakeLocal();
    if (draining_since_) {
      // The flows of a draining process move to other instances, which see
      // their replies: requests without a reply here show no failure.
      observations.failing.clear();
    }
    if (!observations.empty()) {
      const auto own = IdFromName<InstanceId>(settings_.name);
      replica_.relay().AddReports({{{own, std::move(observations)}}}, now);
    }
    SendReports(replica_.relay().TakePendingReports(), now);
    auto suspects = replica_.relay().Suspects(now);
    if (!suspects.empty()) {
      replica_.mailbox().SetShared(std::move(suspects));
    }
  }

  // Sends the sum of reply statistics to the parent, or to all seeds when there
  // is none.
  void SendReplies(TimePoint now) {
    auto replies = replica_.TakeReplySum(now);
    if (replies.empty()) {
      return;
    }
    const auto& parent = replica_.parent();
    const auto receivers = parent ? std::vector{*parent} : seeds_;
    const auto limit = SummariesPerReceiver(receivers.size());
    replies.resize(std::min(replies.size(), limit));
    const auto own = IdFromName<InstanceId>(settings_.name);
    const auto reports =
        HealthReports{{{own, {{}, {}, {}, replies}}}, !parent.has_value()};
    for (const auto& relay : receivers) {
      relay_clients_.At(relay, now).ReportReplies(reports);
      metrics_.CountSummariesSent(replies.size());
    }
  }

  // Sends reports to the parent, or to all seeds when there is none.
  void SendReports(std::vector<HealthReport> reports, TimePoint now) {
    if (reports.empty()) {
      return;
    }
    if (const auto& parent = replica_.parent()) {
      relay_clients_.At(*parent, now).Report({std::move(reports)});
      return;
    }
    const auto to_peers = HealthReports{std::move(reports), true};
    for (const auto& seed : seeds_) {
      relay_clients_.At(seed, now).Report(to_peers);
    }
  }

  // Tells the seeds how many instances this one stands for, as a root, and the
  // traffic thread how many there are.
  void ExchangeInstanceCounts(TimePoint now) {
    if (const auto report = replica_.TakeRootReport(now)) {
      for (const auto& seed : seeds_) {
        relay_clients_.At(seed, now).Report(*report);
      }
    }
    const auto instances = replica_.counter().Assumed();
    replica_.mailbox().SetInstances(instances);
    metrics_.SetInstances(instances);
  }

  void ServeRelay(const std::string& target, const HttpListener::Reply& reply) {
    if (const auto query = ParseQuery(target)) {
      replica_.Serve(*query, reply, clock_.Now());
    } else if (const auto reports = ParseReports(target)) {
      replica_.AddReports(*reports, clock_.Now());
      replica_.AddReplies(*reports, clock_.Now());
      reply({200, "text/plain", ""});
    } else {
      reply(Answer(target));
    }
  }

  auto StatusHandler() -> HttpListener::Handler {
    return [this](const std::string& target, const HttpListener::Reply& reply) {
      reply(Answer(target));
    };
  }

  void StartTraffic() {
    if (traffic_thread_.joinable() || !replica_.IsUsable()) {
      return;
    }
    Log(LogLevel::kInfo, "serving",
        {{"packet", ToString(settings_.packet)},
         {"http", ToString(settings_.http)}});
    traffic_thread_ = std::jthread([this](const std::stop_token& stop) {
      while (!stop.stop_requested()) {
        forwarder_.RunBatch();
      }
    });
  }

  void Tick() {
    const auto now = clock_.Now();
    replica_.OnTick(now);
    settings_reloader_.OnTick(now);
    ExchangeHealthReports(now);
    SendReplies(now);
    ExchangeInstanceCounts(now);
    relay_clients_.OnTick(now);
    metrics_.SetWatchers(replica_.relay().watchers());
    metrics_.SetLogLinesDropped(DroppedLogLines());
    FlushLog();
    if (IsDrained(now)) {
      Log(LogLevel::kInfo, "stopped");
      context_.stop();
      return;
    }
    tick_timer_.expires_after(kTickInterval);
    tick_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        Tick();
      }
    });
  }

  void WaitForSignal() {
    signals_.async_wait(
        [this](const boost::system::error_code& error, int signal) {
          if (error) {
            return;
          }
          if (signal == SIGHUP) {
            settings_reloader_.Reload("signal");
          } else {
            BeginDrain();
          }
          WaitForSignal();
        });
  }

  // Takes the instance out of rotation. Packets are forwarded until none
  // arrives any more.
  void BeginDrain() {
    if (draining_since_) {
      Log(LogLevel::kWarning, "second stop signal; ending at once");
      context_.stop();
      return;
    }
    draining_since_ = clock_.Now();
    Log(LogLevel::kInfo, "stopping");
    replica_.relay().RedirectWatchers(*draining_since_);
  }

  [[nodiscard]] auto IsDrained(TimePoint now) const -> bool {
    if (!draining_since_) {
      return false;
    }
    const auto time = now - *draining_since_;
    const auto is_quiet = now - forwarder_.last_packet() >= kQuietPeriod;
    return time >= settings_.drain_deadline ||
           (time >= settings_.leave_grace && is_quiet);
  }

  [[nodiscard]] auto Answer(const std::string& path) const -> HttpReply {
    if (path == "/readyz") {
      const auto is_ready = !draining_since_ && replica_.IsUsable();
      return is_ready ? HttpReply{200, "text/plain", "ready\n"}
                      : HttpReply{503, "text/plain", "not ready\n"};
    }
    if (path == "/healthz") {
      return {200, "text/plain", "running\n"};
    }
    if (path == "/metrics") {
      return {200, "text/plain; version=0.0.4", metrics_.Format()};
    }
    return {404, "text/plain", "no such path\n"};
  }

  const ServeSettings settings_;
  SettingsReloader settings_reloader_;
  const SystemClock clock_;
  EdgeMetrics metrics_;
  // Declared before everything that may hold a connection, such as the calls
  // that the relay server holds, so that it is destroyed after it.
  boost::asio::io_context context_{1};
  DirectoryReplica replica_;
  const std::vector<SocketAddress> seeds_;
  RelayClients relay_clients_;
  Source source_;
  EdgeForwarder<Codec> forwarder_;
  HttpListener http_;
  std::optional<HttpListener> metrics_listener_;
  std::optional<HttpListener> relay_listener_;
  boost::asio::steady_timer call_timer_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::signal_set signals_;
  std::optional<TimePoint> draining_since_;
  std::jthread traffic_thread_;  // Last, so that it ends before `forwarder_`.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_EDGE_PROCESS_H_
