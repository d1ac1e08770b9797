#include "Edge/edge_metrics.h"

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <utility>

namespace hemlockwick {

namespace {

// Upper bounds of the histograms' buckets, in seconds.
const auto kBuckets = prometheus::Histogram::BucketBoundaries{
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

// Limit on the gauges by data centre: their names come from outside.
constexpr std::size_t kMaxEvacuatedGauges = 64;

// The name as the value of a label, which has to be UTF-8.
auto LabelOf(std::string name) -> std::string {
  std::ranges::replace_if(
      name, [](char byte) { return byte < ' ' || byte > '~'; }, '?');
  return name;
}

}  // namespace

EdgeMetrics::EdgeMetrics()
    : received_(NewCounter("packets_received_total", "Datagrams received")),
      malformed_(NewCounter("packets_malformed_total",
                            "Datagrams that are no packet")),
      forwarded_(
          NewCounter("packets_forwarded_total", "Packets sent to endpoints")),
      send_failed_(NewCounter("packets_send_failed_total",
                              "Packets that the kernel refused to send")),
      ignored_(NewCounter("directory_entries_ignored_total",
                          "Entries of the platform that were not understood")),
      unanswered_(NewCounter("requests_unanswered_total",
                             "Requests on flows without an answer in time")),
      diverted_(NewCounter("openings_diverted_total",
                           "Openings that went to another endpoint because "
                           "the preferred one is cold")),
      opening_time_(NewHistogram("flow_opening_seconds",
                                 "Time from a caller's opening packet to the "
                                 "first packet after the handshake")),
      reply_time_(NewHistogram("flow_reply_seconds",
                               "Time from a caller's data to its first "
                               "acknowledgement of the endpoint's reply")),
      call_time_(NewHistogram("platform_call_seconds",
                              "Time of calls to the platform, watches "
                              "included")),
      version_(NewGauge("config_version", "Configuration version in force")),
      endpoints_(NewGauge("endpoints", "Endpoints in the directory")),
      log_lines_dropped_(
          NewGauge("log_lines_dropped", "Log lines that were not written")),
      relays_above_(NewGauge("relays_above",
                             "Relays between the platform and this instance")),
      watchers_(NewGauge("relay_watchers",
                         "Instances that watch the directory here")),
      evacuated_(NewGauge("evacuated_data_centres",
                          "Data centres whose endpoints get no new flows")),
      evacuated_family_(prometheus::BuildGauge()
                            .Name("hemlockwick_data_centre_evacuated")
                            .Help("1 while the data centre is evacuated")
                            .Register(registry_)),
      summaries_sent_(NewCounter("reply_summaries_sent_total",
                                 "Reply statistics of an endpoint sent to "
                                 "other instances")),
      learned_weights_(NewGauge("learned_weights",
                                "Endpoints with a learned weight other than "
                                "1")),
      lowest_weight_(NewGauge("learned_weight_lowest",
                              "Lowest learned weight, at most 1")),
      instances_(NewGauge("instances",
                          "Instances taken to share the bound on openings at "
                          "cold endpoints")) {
  SetLearnedWeights({});
  for (auto index = std::size_t{0}; index < kResetReasonCount; ++index) {
    const auto reason = ToString(static_cast<ResetReason>(index));
    resets_[index] = &NewCounter("flows_reset_total", "Flows reset",
                                 {{"reason", std::string(reason)}});
  }
  for (auto index = std::size_t{0}; index < kDropReasonCount; ++index) {
    const auto reason = ToString(static_cast<DropReason>(index));
    drops_[index] = &NewCounter("packets_dropped_total", "Packets dropped",
                                {{"reason", std::string(reason)}});
  }
  for (auto index = std::size_t{0}; index < kSyncStatusCount; ++index) {
    const auto status = ToString(static_cast<SyncStatus>(index));
    calls_[index] = &NewCounter("platform_calls_total", "Calls answered",
                                {{"status", std::string(status)}});
  }
  for (auto index = std::size_t{0}; index < events_.size(); ++index) {
    const auto kind = ToString(static_cast<RouterEvent::Kind>(index));
    events_[index] = &NewCounter("router_events_total",
                                 "Decisions of the packet path by kind",
                                 {{"kind", std::string(kind)}});
  }
}

void EdgeMetrics::CountEvent(RouterEvent::Kind kind) {
  Add(*events_[static_cast<std::size_t>(kind)], 1);
}

void EdgeMetrics::CountReset(ResetReason reason) {
  Add(*resets_[static_cast<std::size_t>(reason)], 1);
}

void EdgeMetrics::CountDropped(DropReason reason) {
  Add(*drops_[static_cast<std::size_t>(reason)], 1);
}

void EdgeMetrics::CountCall(SyncStatus status, Duration time) {
  Add(*calls_[static_cast<std::size_t>(status)], 1);
  call_time_.Observe(ToSeconds(time));
}

void EdgeMetrics::Observe(const ReplySample& sample) {
  auto& histogram =
      sample.kind == ReplySample::Kind::kOpening ? opening_time_ : reply_time_;
  histogram.Observe(ToSeconds(sample.time));
}

void EdgeMetrics::SetRelaysAbove(std::size_t relays) {
  relays_above_.Set(static_cast<double>(relays));
}

void EdgeMetrics::SetWatchers(std::size_t watchers) {
  watchers_.Set(static_cast<double>(watchers));
}

void EdgeMetrics::SetEvacuated(const std::vector<std::string>& data_centres) {
  evacuated_.Set(static_cast<double>(data_centres.size()));
  for (auto* const gauge : std::exchange(evacuated_by_name_, {})) {
    evacuated_family_.Remove(gauge);
  }
  for (const auto& name : data_centres) {
    if (evacuated_by_name_.size() >= kMaxEvacuatedGauges) {
      break;
    }
    auto& gauge = evacuated_family_.Add({{"data_centre", LabelOf(name)}});
    gauge.Set(1);
    evacuated_by_name_.insert(&gauge);
  }
}

void EdgeMetrics::SetLearnedWeights(const std::vector<SharedSpeed>& speeds) {
  auto lowest = 1.0;
  for (const auto& speed : speeds) {
    lowest = std::min(lowest, speed.weight);
  }
  learned_weights_.Set(static_cast<double>(speeds.size()));
  lowest_weight_.Set(lowest);
}

void EdgeMetrics::SetInstances(std::uint32_t instances) {
  instances_.Set(static_cast<double>(instances));
}

void EdgeMetrics::SetDirectory(Version version, std::size_t endpoints) {
  version_.Set(static_cast<double>(version.value()));
  endpoints_.Set(static_cast<double>(endpoints));
}

void EdgeMetrics::SetLogLinesDropped(std::uint64_t lines) {
  log_lines_dropped_.Set(static_cast<double>(lines));
}

auto EdgeMetrics::Format() const -> std::string {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

auto EdgeMetrics::NewCounter(const char* name, const char* help,
                             const prometheus::Labels& labels)
    -> prometheus::Counter& {
  return prometheus::BuildCounter()
      .Name(std::string("hemlockwick_") + name)
      .Help(help)
      .Register(registry_)
      .Add(labels);
}

auto EdgeMetrics::NewGauge(const char* name, const char* help)
    -> prometheus::Gauge& {
  return prometheus::BuildGauge()
      .Name(std::string("hemlockwick_") + name)
      .Help(help)
      .Register(registry_)
      .Add({});
}

auto EdgeMetrics::NewHistogram(const char* name, const char* help)
    -> prometheus::Histogram& {
  return prometheus::BuildHistogram()
      .Name(std::string("hemlockwick_") + name)
      .Help(help)
      .Register(registry_)
      .Add({}, kBuckets);
}

}  // namespace hemlockwick
