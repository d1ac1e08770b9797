#ifndef HEMLOCKWICK_EDGE_EDGE_PROCESS_H_
#define HEMLOCKWICK_EDGE_EDGE_PROCESS_H_

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
#include "Edge/directory_keeper.h"
#include "Edge/directory_source.h"
#include "Edge/edge_forwarder.h"
#include "Edge/edge_metrics.h"
#include "Edge/edge_settings.h"
#include "Edge/http_listener.h"
#include "Edge/relay_call.h"
#include "Edge/relay_clients.h"
#include "Edge/settings_watch.h"
#include "Runtime/log.h"
#include "Runtime/settings.h"
#include "Runtime/socket.h"
#include "Runtime/system_clock.h"

namespace hemlockwick {

// The sockets of an edge process, bound before anything else runs.
struct EdgeSockets {
  FileDescriptor packet;
  FileDescriptor http;
  FileDescriptor metrics;  // Invalid when the settings name no address.
  FileDescriptor relay;    // The same.

  // Fails with kAddressInUse when one of the addresses is taken.
  [[nodiscard]] static auto Open(const ServeSettings& settings)
      -> Result<EdgeSockets>;
};

// An edge process: forwards packets of flows that carry their endpoint, by a
// directory that it reads from the platform. The control thread runs in Run;
// another thread forwards packets.
template <PacketCodec Codec, DirectorySource Source>
class EdgeProcess {
 public:
  EdgeProcess(std::string settings_file, const ServeSettings& settings,
              EdgeSockets sockets)
      : settings_(settings),
        settings_watch_(std::move(settings_file), settings),
        keeper_(SyncSettingsOf(settings), RelayCapacityOf(settings), metrics_,
                clock_.Now()),
        seeds_(SeedsOf(settings)),
        relays_(context_, clock_),
        source_(context_, settings.platform, clock_),
        forwarder_(
            std::move(sockets.packet),
            TokenRouterSettings{
                .data_centre = IdFromName<DataCentreId>(settings.data_centre),
                .instance = IdFromName<InstanceId>(settings.name)},
            keeper_.snapshots(), keeper_.signs(), metrics_, clock_),
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

  // Serves until a stop signal and the end of the time to leave.
  void Run() {
    WaitForSignal();
    ScheduleCall();
    Tick();
    context_.run();
    traffic_ = std::jthread();
  }

 private:
  // How often slow work is looked after.
  static constexpr auto kTickInterval = std::chrono::milliseconds(200);

  // A leaving process whose last packet is this old is out of rotation.
  static constexpr Duration kQuietTime = std::chrono::milliseconds(700);

  void ScheduleCall() {
    const auto& call = keeper_.next_call();
    const auto now = clock_.Now();
    if (call.at <= now) {
      MakeCall(call);
      return;
    }
    call_timer_.expires_after(call.at - now);
    call_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        MakeCall(keeper_.next_call());
      }
    });
  }

  void MakeCall(const SyncCall& call) {
    const auto called_at = clock_.Now();
    auto on_answer = [this, called_at](const SyncAnswer& answer,
                                       const std::string& error) {
      const auto now = clock_.Now();
      metrics_.CountCall(answer.status, now - called_at);
      keeper_.OnAnswer(answer, error, called_at, now);
      StartTraffic();
      ScheduleCall();
    };
    if (call.relay) {
      relays_.At(*call.relay, called_at)
          .Call(call, keeper_.relay().Self(), keeper_.routes(), on_answer);
    } else {
      source_.Call(call, on_answer);
    }
  }

  // Adds this instance's signs to those of its watchers, and passes them on.
  void ExchangeSigns(TimePoint now) {
    auto news = keeper_.signs().TakeLocal();
    if (leaving_since_) {
      // Its flows move to other instances, where their answers are seen.
      news.failing.clear();
    }
    if (!news.empty()) {
      const auto own = IdFromName<InstanceId>(settings_.name);
      keeper_.relay().TakeReports({{{own, std::move(news)}}}, now);
    }
    SendReports(keeper_.relay().TakeReportsAbove(), now);
    auto suspects = keeper_.relay().Suspects(now);
    if (!suspects.empty()) {
      keeper_.signs().SetShared(std::move(suspects));
    }
  }

  // An instance without a relay above tells the seeds.
  void SendReports(std::vector<SignReport> reports, TimePoint now) {
    if (reports.empty()) {
      return;
    }
    if (const auto& parent = keeper_.parent()) {
      relays_.At(*parent, now).Report({std::move(reports)});
      return;
    }
    const auto to_peers = SignReports{std::move(reports), true};
    for (const auto& seed : seeds_) {
      relays_.At(seed, now).Report(to_peers);
    }
  }

  void ServeRelay(const std::string& target, const HttpListener::Reply& reply) {
    if (const auto query = ParseQuery(target)) {
      keeper_.relay().Serve(*query, reply, clock_.Now());
    } else if (const auto reports = ParseReports(target)) {
      keeper_.relay().TakeReports(*reports, clock_.Now());
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
    if (traffic_.joinable() || !keeper_.IsUsable()) {
      return;
    }
    Log(LogLevel::kInfo, "serving",
        {{"packet", ToString(settings_.packet)},
         {"http", ToString(settings_.http)}});
    traffic_ = std::jthread([this](const std::stop_token& stop) {
      while (!stop.stop_requested()) {
        forwarder_.RunBatch();
      }
    });
  }

  void Tick() {
    const auto now = clock_.Now();
    keeper_.OnTick(now);
    settings_watch_.OnTick(now);
    ExchangeSigns(now);
    relays_.OnTick(now);
    metrics_.SetWatchers(keeper_.relay().watchers());
    metrics_.SetLogLinesDropped(DroppedLogLines());
    FlushLog();
    if (LeaveDone(now)) {
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
            settings_watch_.Reload("signal");
          } else {
            BeginLeave();
          }
          WaitForSignal();
        });
  }

  // Stops taking new rotation; packets are forwarded until none arrives.
  void BeginLeave() {
    if (leaving_since_) {
      Log(LogLevel::kWarning, "second stop signal; ending at once");
      context_.stop();
      return;
    }
    leaving_since_ = clock_.Now();
    Log(LogLevel::kInfo, "stopping");
    keeper_.relay().Leave(*leaving_since_);
  }

  [[nodiscard]] auto LeaveDone(TimePoint now) const -> bool {
    if (!leaving_since_) {
      return false;
    }
    const auto time = now - *leaving_since_;
    const auto is_quiet = now - forwarder_.last_packet() >= kQuietTime;
    return time >= settings_.drain_deadline ||
           (time >= settings_.leave_grace && is_quiet);
  }

  [[nodiscard]] auto Answer(const std::string& path) const -> HttpReply {
    if (path == "/readyz") {
      const auto is_ready = !leaving_since_ && keeper_.IsUsable();
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
  SettingsWatch settings_watch_;
  const SystemClock clock_;
  EdgeMetrics metrics_;
  // Before all that may hold a connection; the keeper's relay does, of those
  // who wait.
  boost::asio::io_context context_{1};
  DirectoryKeeper keeper_;
  const std::vector<SocketAddress> seeds_;
  RelayClients relays_;
  Source source_;
  EdgeForwarder<Codec> forwarder_;
  HttpListener http_;
  std::optional<HttpListener> metrics_listener_;
  std::optional<HttpListener> relay_listener_;
  boost::asio::steady_timer call_timer_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::signal_set signals_;
  std::optional<TimePoint> leaving_since_;
  std::jthread traffic_;  // Last: it uses the forwarder.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_EDGE_PROCESS_H_
