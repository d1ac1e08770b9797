#include "Edge/report_limiter.h"

#include <utility>

namespace hemlockwick {

namespace {

// Minimum interval between reports on one endpoint that are passed on for one
// reporter.
constexpr Duration kRepeatInterval = std::chrono::milliseconds(500);

// Limits the memory: reporters with pending reports.
constexpr std::size_t kMaxPendingReporters = 256;

}  // namespace

void ReportLimiter::Add(const HealthReport& report, TimePoint now) {
  if (pending_.size() >= kMaxPendingReporters &&
      !pending_.contains(report.reporter)) {
    return;
  }
  auto observations = EndpointObservations();
  for (const auto token : report.observations.silent) {
    if (Passes(silent_, token, report.reporter, now)) {
      observations.silent.push_back(token);
    }
  }
  for (const auto token : report.observations.failing) {
    if (Passes(failing_, token, report.reporter, now)) {
      observations.failing.push_back(token);
    }
  }
  for (const auto token : report.observations.alive) {
    // The endpoint has answered, which refutes earlier reports of silence.
    silent_.erase(token);
    observations.alive.push_back(token);
  }
  if (!observations.empty()) {
    pending_[report.reporter].Merge(observations);
  }
}

auto ReportLimiter::Passes(Passed& passed, FlowToken token, InstanceId reporter,
                           TimePoint now) -> bool {
  if (passed.size() >= kMaxReportedEndpoints && !passed.contains(token)) {
    passed.clear();
  }
  auto& reporters = passed[token];
  std::erase_if(reporters, [now](const auto& entry) {
    return now - entry.second >= kReportLifetime;
  });
  const auto found = reporters.find(reporter);
  if (found == reporters.end()) {
    return reporters.size() < kReportQuorum &&
           reporters.emplace(reporter, now).second;
  }
  if (now - found->second < kRepeatInterval) {
    return false;
  }
  found->second = now;
  return true;
}

auto ReportLimiter::Take() -> std::vector<HealthReport> {
  auto reports = std::vector<HealthReport>();
  for (auto& [reporter, observations] : std::exchange(pending_, {})) {
    reports.push_back({reporter, std::move(observations)});
  }
  return reports;
}

}  // namespace hemlockwick
