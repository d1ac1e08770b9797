#include "Edge/directory_replica.h"

#include <algorithm>

#include "Edge/packed_address.h"
#include "Edge/router_log.h"
#include "Runtime/log.h"

namespace hemlockwick {

namespace {

// A watch that is answered this much later than its hold time indicates a short
// outage, during which entries of the platform may have expired.
constexpr Duration kLateAnswerThreshold = std::chrono::milliseconds(300);

}  // namespace

DirectoryReplica::DirectoryReplica(const SyncSettings& settings,
                                   std::uint32_t capacity, EdgeMetrics& metrics,
                                   TimePoint now)
    : data_centre_(settings.data_centre),
      instance_(settings.instance),
      counts_instances_(settings.counts_instances),
      metrics_(metrics),
      sync_(settings, now),
      speeds_(settings.shares_speeds
                  ? std::optional<SpeedExchange>(std::in_place)
                  : std::nullopt),
      relay_({settings.own_relay, settings.data_centre, capacity, true},
             settings.random_seed,
             [this](TimePoint at) { return RelayStateAt(at); }),
      counter_(settings.is_seed, now) {}

void DirectoryReplica::OnAnswer(const SyncAnswer& answer,
                                const std::string& error, TimePoint called_at,
                                TimePoint now) {
  LogCall(answer, error);
  RecordOutage(answer, called_at, now);
  sync_.SetLocalWatchers(relay_.LocalWatchers());
  const auto upstream = UpstreamName();
  const auto before = sync_.position();
  const auto is_accepted = sync_.OnAnswer(answer, now);
  if (answer.status == SyncStatus::kOk && !is_accepted) {
    // The update is outdated, it follows another era than the directory held,
    // or it came through a loop of relays or too many of them.
    const auto& position = answer.update.position;
    LogBuffered(LogLevel::kWarning, "directory_answer_refused",
                {{"upstream", upstream},
                 {"answer_era", std::to_string(position.era.value())},
                 {"answer_revision", std::to_string(position.revision.value())},
                 {"era", std::to_string(before.era.value())},
                 {"revision", std::to_string(before.revision.value())},
                 {"relays_above", std::to_string(answer.advice.path.size())}});
  }
  LogConnectivity(answer, error);
  LogParent(answer);
  if (is_accepted) {
    const auto is_first = before == Position();
    if (!is_first && sync_.position().era != before.era) {
      OnNewEra(before, now);
    }
    Apply(answer.update, now);
    if (speeds_ && answer.speeds) {
      speeds_->AddUpstream(*answer.speeds);
    }
    if (answer.instances) {
      counter_.OnTotal(*answer.instances, now);
    }
    relay_.AddUpstreamSuspects(answer.suspects, now);
    relay_.Add(answer.update, now);
    if (!answer.suspects.empty()) {
      mailbox_.SetShared(answer.suspects);
    }
  }
  OnTick(now);
}

void DirectoryReplica::OnTick(TimePoint now) {
  directory_.OnTick(now);
  ExchangeSpeeds(now);
  counter_.OnTick(sync_.parent().has_value(), now);
  relay_.OnTick(now);
  Publish(now);
}

auto DirectoryReplica::Self(TimePoint now) const -> Watcher {
  auto self = relay_.Self();
  if (counts_instances_) {
    self.count = {instance_, counter_.Subtree(now)};
  }
  return self;
}

void DirectoryReplica::Serve(const RelayQuery& query, HttpListener::Reply reply,
                             TimePoint now) {
  if (!relay_.Serve(query, std::move(reply), now)) {
    return;
  }
  auto count = query.watcher.count;
  if (count.instance == InstanceId()) {
    // An earlier version is known by its address, if it relays.
    count.instance = InstanceId(PackAddress(query.watcher.relay));
  }
  counter_.OnWatcher(count, now);
}

void DirectoryReplica::AddReports(const HealthReports& reports, TimePoint now) {
  if (reports.root) {
    counter_.OnRoot(*reports.root, now);
  }
  relay_.AddReports(reports, now);
}

auto DirectoryReplica::TakeRootReport(TimePoint now)
    -> std::optional<HealthReports> {
  if (!counts_instances_) {
    return std::nullopt;
  }
  const auto instances = counter_.TakeRootReport(now);
  if (!instances) {
    return std::nullopt;
  }
  return HealthReports{{}, true, InstanceCount{instance_, *instances}};
}

// The platform has lost changes that it had confirmed. Their writers repeat
// them soon; until then entries are missing, and others are older than those
// known here.
void DirectoryReplica::OnNewEra(Position before, TimePoint now) {
  outage_end_ = now;
  directory_.OnPlatformRestored(now);
  const auto position = sync_.position();
  Log(LogLevel::kWarning, "platform_restored",
      {{"era", std::to_string(position.era.value())},
       {"revision", std::to_string(position.revision.value())},
       {"era_before", std::to_string(before.era.value())},
       {"revision_before", std::to_string(before.revision.value())}});
}

void DirectoryReplica::LogOlderRoutes(const DirectoryUpdate& update) {
  const auto in_force = directory_.routes();
  if (update.routes != nullptr && in_force != nullptr &&
      update.routes->version < in_force->version) {
    LogBuffered(
        LogLevel::kWarning, "older_routes_ignored",
        {{"version", std::to_string(in_force->version.value())},
         {"answer_version", std::to_string(update.routes->version.value())},
         {"era", std::to_string(update.position.era.value())}});
  }
}

void DirectoryReplica::Apply(const DirectoryUpdate& update, TimePoint now) {
  auto present = EntrySet();
  for (const auto& report : update.reports) {
    directory_.Report(report);
    present.Add(report.Ref());
  }
  for (const auto& ref : update.unreadable) {
    directory_.Withhold(ref);
    present.Add(ref);
  }
  for (const auto& ref : update.removed) {
    directory_.Remove(ref, now);
  }
  if (update.is_whole) {
    directory_.RemoveOthers(present, now);
  }
  ApplyEvacuations(update, now);
  LogOlderRoutes(update);
  if (update.routes != nullptr) {
    directory_.Publish(update.routes, now);
  }
  if (update.ignored > 0) {
    metrics_.CountIgnoredEntries(update.ignored);
    Log(LogLevel::kWarning, "directory_entries_ignored",
        {{"count", std::to_string(update.ignored)},
         {"revision", std::to_string(update.position.revision.value())}});
  }
}

void DirectoryReplica::ApplyEvacuations(const DirectoryUpdate& update,
                                        TimePoint now) {
  auto& evacuations = directory_.evacuations();
  for (const auto& evacuation : update.evacuations) {
    evacuations.Apply(evacuation, now);
  }
  if (update.is_whole && update.has_all_evacuations) {
    evacuations.EndOthers(update.evacuations, update.position.revision, now);
  }
}

// Tells the directory when outages end, including those that are too short for
// the platform to count as lost.
void DirectoryReplica::RecordOutage(const SyncAnswer& answer,
                                    TimePoint called_at, TimePoint now) {
  // A relay that is out of date answers, too.
  const auto is_ok = answer.status == SyncStatus::kOk;
  const auto is_fresh = is_ok && answer.age <= kMaxRelayAge;
  const auto is_late =
      now - called_at > sync_.next().wait + kLateAnswerThreshold;
  if (is_fresh && (is_failing_ || is_late)) {
    outage_end_ = now;
  }
  if (is_fresh && answer.since_outage) {
    const auto end = now - *answer.since_outage;
    outage_end_ = std::max(outage_end_.value_or(end), end);
  }
  is_failing_ = !is_ok && answer.status != SyncStatus::kHistoryLost;
  if (is_fresh && outage_end_) {
    directory_.OnPlatformBack(*outage_end_);
  }
}

// The upstream of the next call, as it appears in the log.
auto DirectoryReplica::UpstreamName() const -> std::string {
  const auto& relay = sync_.next().relay;
  return relay ? ToString(*relay) : std::string("platform");
}

// Logs the first failed call of a series, and the first success after it.
void DirectoryReplica::LogCall(const SyncAnswer& answer,
                               const std::string& error) {
  const auto is_ok = answer.status == SyncStatus::kOk ||
                     answer.status == SyncStatus::kHistoryLost;
  if (is_ok != is_failing_) {
    return;
  }
  if (is_ok) {
    LogBuffered(LogLevel::kInfo, "directory_call_succeeded",
                {{"upstream", UpstreamName()}});
  } else {
    LogBuffered(
        LogLevel::kWarning, "directory_call_failed",
        {{"upstream", UpstreamName()},
         {"status", std::string(ToString(answer.status))},
         {"error", error},
         {"revision", std::to_string(sync_.position().revision.value())}});
  }
}

void DirectoryReplica::LogConnectivity(const SyncAnswer& answer,
                                       const std::string& error) {
  if (answer.status == SyncStatus::kHistoryLost) {
    Log(LogLevel::kWarning, "platform_history_lost", {{"error", error}});
  }
  if (sync_.is_lost() == was_lost_) {
    return;
  }
  was_lost_ = sync_.is_lost();
  if (was_lost_) {
    directory_.OnPlatformLost();
    Log(LogLevel::kWarning, "platform_lost",
        {{"status", std::string(ToString(answer.status))}, {"error", error}});
  } else {
    Log(LogLevel::kInfo, "platform_back");
  }
}

// Logs a change of the relay that this instance watches.
void DirectoryReplica::LogParent(const SyncAnswer& answer) {
  if (sync_.parent() == logged_parent_) {
    return;
  }
  logged_parent_ = sync_.parent();
  const auto parent =
      logged_parent_ ? ToString(*logged_parent_) : std::string("none");
  metrics_.SetRelaysAbove(sync_.path().size());
  LogBuffered(
      LogLevel::kInfo, "directory_upstream",
      {{"upstream", parent},
       {"relays_above", std::to_string(sync_.path().size())},
       {"answer_age_ms", std::to_string(ToMillis(answer.age))},
       {"revision", std::to_string(sync_.position().revision.value())}});
}

auto DirectoryReplica::RelayStateAt(TimePoint now) const -> RelayState {
  auto state = RelayState();
  state.advice.path = sync_.path();
  state.data_centre = data_centre_;
  if (counts_instances_) {
    state.instances = counter_.total();
  }
  state.age = now - sync_.last_fresh();
  if (const auto* const speeds = speeds_ ? speeds_->Current(now) : nullptr) {
    state.speeds = *speeds;
  }
  if (outage_end_) {
    state.since_outage = now - *outage_end_;
  }
  return state;
}

auto DirectoryReplica::Place() const -> TreePlace {
  if (sync_.parent()) {
    return TreePlace::kBelow;
  }
  return sync_.is_tree_root() ? TreePlace::kRoot : TreePlace::kDetached;
}

void DirectoryReplica::AddReplies(const HealthReports& reports, TimePoint now) {
  if (speeds_) {
    speeds_->AddReports(reports, now);
  }
}

auto DirectoryReplica::TakeReplySum(TimePoint now)
    -> std::vector<ReplySummary> {
  return speeds_ ? speeds_->TakeDueSum(Place(), sync_.path().size(), now)
                 : std::vector<ReplySummary>();
}

// Passes on what the traffic thread has observed, and gives it new speeds.
void DirectoryReplica::ExchangeSpeeds(TimePoint now) {
  if (!speeds_) {
    return;
  }
  speeds_->AddOwn(mailbox_.TakeReplies());
  speeds_->OnTick(Place(), now);
  const auto* const speeds = speeds_->Current(now);
  LogSpeeds(speeds);
  if (speeds != nullptr && speeds->at > applied_speeds_) {
    applied_speeds_ = speeds->at;
    metrics_.SetLearnedWeights(speeds->speeds);
    mailbox_.SetSpeeds(speeds->speeds);
  }
}

// Logs when speeds are available, and when they no longer are.
void DirectoryReplica::LogSpeeds(const SharedSpeeds* speeds) {
  if (had_speeds_ == (speeds != nullptr)) {
    return;
  }
  had_speeds_ = speeds != nullptr;
  if (!had_speeds_) {
    metrics_.SetLearnedWeights({});
    LogBuffered(LogLevel::kWarning, "endpoint_speeds_lost");
    return;
  }
  const auto source = Place() == TreePlace::kRoot ? "own" : "relay";
  LogBuffered(LogLevel::kInfo, "endpoint_speeds_shared",
              {{"source", source},
               {"endpoints", std::to_string(speeds->speeds.size())}});
}

// Logs the initial directory as one line, and later changes one by one.
void DirectoryReplica::LogEvents() {
  const auto events = directory_.TakeEvents();
  if (snapshots_.generation() == 0) {
    LogBuffered(
        LogLevel::kInfo, "directory_read",
        {{"endpoints", std::to_string(directory_.size())},
         {"version", std::to_string(directory_.routes()->version.value())},
         {"revision", std::to_string(sync_.position().revision.value())}});
    return;
  }
  LogDirectoryEvents(events);
}

void DirectoryReplica::ReportEvacuations() {
  const auto events = directory_.evacuations().TakeEvents();
  if (!events.empty()) {
    LogEvacuations(events);
    metrics_.SetEvacuated(directory_.evacuations().Names());
  }
}

void DirectoryReplica::Publish(TimePoint now) {
  // Without routes and endpoints no packet can be forwarded; until then packets
  // wait in the socket's buffer.
  if (!directory_.IsUsable()) {
    return;
  }
  LogEvents();
  ReportEvacuations();
  auto snapshot = directory_.TakeSnapshot(now);
  if (snapshot != nullptr) {
    metrics_.SetDirectory(snapshot->version(), snapshot->size());
    snapshots_.Publish(std::move(snapshot));
  }
}

}  // namespace hemlockwick
