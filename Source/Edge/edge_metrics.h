#ifndef HEMLOCKWICK_EDGE_EDGE_METRICS_H_
#define HEMLOCKWICK_EDGE_EDGE_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "Edge/directory_sync.h"
#include "Flow/flow_types.h"
#include "Flow/token_router.h"

namespace hemlockwick {

// Metrics of an edge process. Any thread may update them.
class EdgeMetrics {
 public:
  EdgeMetrics();

  void CountReceived(std::size_t packets) { Add(received_, packets); }
  void CountMalformed() { Add(malformed_, 1); }
  void CountForwarded() { Add(forwarded_, 1); }
  void CountSendFailed(std::size_t packets) { Add(send_failed_, packets); }
  void CountReset(ResetReason reason);
  void CountDropped(DropReason reason);
  void CountCall(SyncStatus status, Duration time);
  void CountIgnoredEntries(std::size_t entries) { Add(ignored_, entries); }
  void CountEvent(RouterEvent::Kind kind);
  void CountUnanswered(std::size_t requests) { Add(unanswered_, requests); }
  void CountDiverted(std::size_t openings) { Add(diverted_, openings); }
  void Observe(const ReplySample& sample);
  void SetDirectory(Version version, std::size_t endpoints);
  void SetLogLinesDropped(std::uint64_t lines);
  void SetRelaysAbove(std::size_t relays);
  void SetWatchers(std::size_t watchers);
  // Sets the evacuated data centres, by their names.
  void SetEvacuated(const std::vector<std::string>& data_centres);
  void SetLearnedWeights(const std::vector<SharedSpeed>& speeds);
  void CountSummariesSent(std::size_t summaries) {
    Add(summaries_sent_, summaries);
  }
  void SetInstances(std::uint32_t instances);

  // All metrics in the Prometheus text format.
  [[nodiscard]] auto Format() const -> std::string;

 private:
  static void Add(prometheus::Counter& counter, std::size_t amount) {
    counter.Increment(static_cast<double>(amount));
  }
  auto NewCounter(const char* name, const char* help,
                  const prometheus::Labels& labels = {})
      -> prometheus::Counter&;
  auto NewGauge(const char* name, const char* help) -> prometheus::Gauge&;
  auto NewHistogram(const char* name, const char* help)
      -> prometheus::Histogram&;

  prometheus::Registry registry_;
  prometheus::Counter& received_;
  prometheus::Counter& malformed_;
  prometheus::Counter& forwarded_;
  prometheus::Counter& send_failed_;
  prometheus::Counter& ignored_;
  prometheus::Counter& unanswered_;
  prometheus::Counter& diverted_;
  std::array<prometheus::Counter*, kResetReasonCount> resets_{};
  std::array<prometheus::Counter*, kDropReasonCount> drops_{};
  std::array<prometheus::Counter*, kSyncStatusCount> calls_{};
  std::array<prometheus::Counter*, RouterEvent::kKindCount> events_{};
  prometheus::Histogram& opening_time_;
  prometheus::Histogram& reply_time_;
  prometheus::Histogram& call_time_;
  prometheus::Gauge& version_;
  prometheus::Gauge& endpoints_;
  prometheus::Gauge& log_lines_dropped_;
  prometheus::Gauge& relays_above_;
  prometheus::Gauge& watchers_;
  prometheus::Gauge& evacuated_;
  prometheus::Family<prometheus::Gauge>& evacuated_family_;
  // One for each evacuated data centre, up to a limit.
  std::unordered_set<prometheus::Gauge*> evacuated_by_name_;
  prometheus::Counter& summaries_sent_;
  prometheus::Gauge& learned_weights_;
  prometheus::Gauge& lowest_weight_;
  prometheus::Gauge& instances_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_EDGE_METRICS_H_
