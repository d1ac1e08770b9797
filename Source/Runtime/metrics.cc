#include "Runtime/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <string_view>
#include <utility>
#include <vector>

namespace hemlockwick {

namespace {

using Families = std::vector<prometheus::MetricFamily>;

auto NewFamily(std::string_view name, std::string_view help,
               prometheus::MetricType type) -> prometheus::MetricFamily {
  auto family = prometheus::MetricFamily();
  family.name = "hemlockwick_" + std::string(name);
  family.help = help;
  family.type = type;
  return family;
}

auto NewCounter(double value) -> prometheus::ClientMetric {
  auto metric = prometheus::ClientMetric();
  metric.counter.value = value;
  return metric;
}

template <typename Value>
void AddCounter(Families& families, std::string_view name,
                std::string_view help, Value value) {
  auto family = NewFamily(name, help, prometheus::MetricType::Counter);
  family.metric.push_back(NewCounter(static_cast<double>(value)));
  families.push_back(std::move(family));
}

template <typename Value>
void AddGauge(Families& families, std::string_view name, std::string_view help,
              Value value) {
  auto family = NewFamily(name, help, prometheus::MetricType::Gauge);
  family.metric.emplace_back().gauge.value = static_cast<double>(value);
  families.push_back(std::move(family));
}

void AddPackets(Families& families, const PacketTotals& packets) {
  AddCounter(families, "packets_received_total", "Datagrams received",
             packets.received);
  AddCounter(families, "packets_forwarded_total", "Packets sent to endpoints",
             packets.forwarded);
  AddCounter(families, "packets_relayed_total",
             "Packets sent to other instances", packets.relayed);
  AddCounter(families, "packets_send_failed_total",
             "Packets that the kernel refused to send", packets.send_failed);
  auto dropped = NewFamily("packets_dropped_total", "Packets dropped by reason",
                           prometheus::MetricType::Counter);
  for (const auto& [reason, count] : packets.dropped) {
    auto metric = NewCounter(static_cast<double>(count));
    metric.label.push_back({"reason", reason});
    dropped.metric.push_back(std::move(metric));
  }
  families.push_back(std::move(dropped));
}

void AddFlows(Families& families, const FlowStats& flows) {
  AddGauge(families, "flow_records", "Flow records kept", flows.records);
  AddCounter(families, "flow_records_evicted_total",
             "Flow records dropped because the table was full", flows.evicted);
  AddGauge(families, "flow_buckets_unsettled",
           "Buckets whose owner changed recently", flows.unsettled_buckets);
  AddGauge(families, "flow_buckets", "Buckets of all services",
           flows.total_buckets);
}

void AddRequests(Families& families, const RequestStats& requests) {
  AddCounter(families, "requests_arrived_total", "Requests of callers",
             requests.arrived);
  AddCounter(families, "requests_dispatched_total", "Attempts sent",
             requests.dispatched);
  AddCounter(families, "requests_answered_total", "Answers delivered",
             requests.answered);
  AddCounter(families, "requests_refused_total", "Requests refused",
             requests.refused);
  AddCounter(families, "requests_shed_total", "Attempts shed by endpoints",
             requests.shed);
  AddCounter(families, "requests_retried_total", "Attempts after the first",
             requests.retried);
  AddCounter(families, "requests_late_answers_total",
             "Answers that nobody waited for", requests.late_answers);
  AddCounter(families, "requests_outcome_unknown_total",
             "Requests that ended with an unknown outcome",
             requests.outcome_unknown);
  AddGauge(families, "requests_queued", "Requests waiting", requests.queued);
  AddGauge(families, "requests_in_flight", "Attempts running",
           requests.in_flight);
  AddGauge(families, "idempotency_keys", "Idempotency keys remembered",
           requests.keys);
}

void AddControl(Families& families, const MetricsInput& input) {
  const auto& control = input.control;
  AddGauge(families, "config_version", "Version in force, 0 for none",
           control.config == nullptr ? 0 : control.config->version.value());
  auto serving = 0;
  for (const auto& member : control.members.members) {
    serving += IsServing(member.state) ? 1 : 0;
  }
  AddGauge(families, "members_serving", "Instances that count as serving",
           serving);
  AddCounter(families, "control_bytes_sent_total",
             "Bytes of membership and configuration messages",
             control.sent_bytes);
  AddCounter(families, "peer_messages_sent_total", "Messages taken by peers",
             input.peers.sent);
  AddCounter(families, "peer_messages_failed_total",
             "Messages that no peer took", input.peers.failed);
  AddCounter(families, "peer_bytes_sent_total",
             "Bytes of messages to peers, all planes", input.peers.sent_bytes);
  AddCounter(families, "events_dropped_total",
             "Events dropped because the ring was full", input.events_dropped);
}

}  // namespace

auto FormatMetrics(const MetricsInput& input) -> std::string {
  auto families = Families();
  AddPackets(families, input.packets);
  AddFlows(families, input.flows);
  AddRequests(families, input.requests);
  AddControl(families, input);
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace hemlockwick
