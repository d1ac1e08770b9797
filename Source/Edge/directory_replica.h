#ifndef HEMLOCKWICK_EDGE_DIRECTORY_REPLICA_H_
#define HEMLOCKWICK_EDGE_DIRECTORY_REPLICA_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Core/snapshot_cell.h"
#include "Edge/directory_sync.h"
#include "Edge/edge_metrics.h"
#include "Edge/health_mailbox.h"
#include "Edge/instance_counter.h"
#include "Edge/relay_server.h"
#include "Edge/speed_exchange.h"
#include "Flow/endpoint_directory.h"

namespace hemlockwick {

// Local replica of the platform's directory of endpoints. Applies the answers
// of the platform and of relays, publishes snapshots for the traffic thread and
// logs changes. Runs on the control thread.
class DirectoryReplica {
 public:
  // `capacity` is the maximum number of instances that may watch this one.
  // `metrics` must outlive the replica.
  DirectoryReplica(const SyncSettings& settings, std::uint32_t capacity,
                   EdgeMetrics& metrics, TimePoint now);

  // The next call to make; its answer goes to OnAnswer.
  [[nodiscard]] auto next_call() const -> const SyncCall& {
    return sync_.next();
  }

  // Handles the answer to next_call, which was made at `called_at`. When the
  // call has failed, `error` is the reason, for the log.
  void OnAnswer(const SyncAnswer& answer, const std::string& error,
                TimePoint called_at, TimePoint now);

  void OnTick(TimePoint now);

  // Whether routes and endpoints are known.
  [[nodiscard]] auto IsUsable() const -> bool { return directory_.IsUsable(); }

  [[nodiscard]] auto routes() const -> std::shared_ptr<const RouteSet> {
    return directory_.routes();
  }

  // The relay that this instance watches; nullopt when there is none, for
  // example because it watches the platform.
  [[nodiscard]] auto parent() const -> const std::optional<SocketAddress>& {
    return sync_.parent();
  }

  // Records the reply statistics in the reports of other instances.
  void AddReplies(const HealthReports& reports, TimePoint now);

  // Takes the sum of reply statistics that is to be sent to the parent or,
  // when there is none, to all seeds; empty when nothing is due.
  [[nodiscard]] auto TakeReplySum(TimePoint now) -> std::vector<ReplySummary>;

  // Health observations on their way between the traffic thread and other
  // instances.
  [[nodiscard]] auto mailbox() -> HealthMailbox& { return mailbox_; }

  // Counts the instances of the fleet.
  [[nodiscard]] auto counter() -> InstanceCounter& { return counter_; }

  // How this instance describes itself to the relay above.
  [[nodiscard]] auto Self(TimePoint now) const -> Watcher;

  // Serves a call of another instance.
  void Serve(const RelayQuery& query, HttpListener::Reply reply, TimePoint now);

  // Records the reports of another instance.
  void AddReports(const HealthReports& reports, TimePoint now);

  // What to report to the seeds now, as the root of a tree; nullopt when there
  // is nothing.
  auto TakeRootReport(TimePoint now) -> std::optional<HealthReports>;

  // Serves the directory to the instances that watch this one.
  [[nodiscard]] auto relay() -> RelayServer& { return relay_; }

  [[nodiscard]] auto snapshots() const
      -> const SnapshotCell<DirectorySnapshot>& {
    return snapshots_;
  }

 private:
  void Apply(const DirectoryUpdate& update, TimePoint now);
  void ApplyEvacuations(const DirectoryUpdate& update, TimePoint now);
  void OnNewEra(Position before, TimePoint now);
  void LogOlderRoutes(const DirectoryUpdate& update);
  void RecordOutage(const SyncAnswer& answer, TimePoint called_at,
                    TimePoint now);
  void LogCall(const SyncAnswer& answer, const std::string& error);
  void LogConnectivity(const SyncAnswer& answer, const std::string& error);
  [[nodiscard]] auto UpstreamName() const -> std::string;
  void LogParent(const SyncAnswer& answer);
  [[nodiscard]] auto RelayStateAt(TimePoint now) const -> RelayState;
  [[nodiscard]] auto Place() const -> TreePlace;
  void ExchangeSpeeds(TimePoint now);
  void LogSpeeds(const SharedSpeeds* speeds);
  void LogEvents();
  void ReportEvacuations();
  void Publish(TimePoint now);

  const DataCentreId data_centre_;
  const InstanceId instance_;
  const bool counts_instances_;
  EdgeMetrics& metrics_;
  DirectorySync sync_;
  EndpointDirectory directory_;
  SnapshotCell<DirectorySnapshot> snapshots_;
  // nullopt unless the settings request learned capacity. Declared before the
  // relay server, which reads it.
  std::optional<SpeedExchange> speeds_;
  RelayServer relay_;
  InstanceCounter counter_;
  HealthMailbox mailbox_;
  bool was_lost_ = false;
  bool is_failing_ = false;  // The last call failed.
  std::optional<SocketAddress> logged_parent_;
  std::optional<TimePoint> outage_end_;
  TimePoint applied_speeds_;  // Time of the speeds last given to the traffic.
  bool had_speeds_ = false;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_DIRECTORY_REPLICA_H_
