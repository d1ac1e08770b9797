#include "Edge/health_aggregator.h"

#include <algorithm>

#include "Edge/health_report.h"

namespace hemlockwick {

namespace {

// How long a suspicion may be renewed by a single report: until every instance
// has had its turn to try the endpoint again.
constexpr Duration kRenewalWindow = std::chrono::milliseconds(5000);

constexpr Duration kCleanupInterval = std::chrono::seconds(5);

}  // namespace

auto SuspectReports::Add(InstanceId reporter, FlowToken token, TimePoint now)
    -> bool {
  RemoveExpired(now);
  if (reports_.size() >= kMaxReportedEndpoints && !reports_.contains(token)) {
    return false;
  }
  auto& reports = reports_[token];
  const auto was_suspect = IsSuspect(reports, now);
  reports.latest[reporter] = now;
  if (HasQuorum(reports, now)) {
    reports.suspected = now;
    reports.renewer = InstanceId();
  } else if (now - reports.suspected < kRenewalWindow &&
             reporter != reports.renewer) {
    reports.suspected = now;
    reports.renewer = reporter;
  }
  return !was_suspect && IsSuspect(reports, now);
}

void SuspectReports::AppendSuspects(
    Suspicion suspicion, TimePoint now,
    std::vector<SharedSuspect>& suspects) const {
  for (const auto& [token, reports] : reports_) {
    if (IsSuspect(reports, now)) {
      suspects.push_back({token, reports.suspected, suspicion});
    }
  }
}

auto SuspectReports::IsSuspect(const Reports& reports, TimePoint now) -> bool {
  return now - reports.suspected < kReportLifetime;
}

auto SuspectReports::HasQuorum(const Reports& reports, TimePoint now) -> bool {
  const auto recent =
      std::ranges::count_if(reports.latest, [now](const auto& report) {
        return now - report.second < kReportLifetime;
      });
  return static_cast<std::size_t>(recent) >= kReportQuorum;
}

void SuspectReports::RemoveExpired(TimePoint now) {
  if (now < next_cleanup_) {
    return;
  }
  next_cleanup_ = now + kCleanupInterval;
  for (auto& [token, reports] : reports_) {
    std::erase_if(reports.latest, [now](const auto& report) {
      return now - report.second >= kReportLifetime;
    });
  }
  std::erase_if(reports_, [now](const auto& entry) {
    const auto& reports = entry.second;
    return reports.latest.empty() && now - reports.suspected >= kRenewalWindow;
  });
}

auto HealthAggregator::Report(InstanceId reporter,
                              const EndpointObservations& observations,
                              TimePoint now) -> bool {
  auto has_changed = false;
  for (const auto token : observations.silent) {
    has_changed = silent_.Add(reporter, token, now) || has_changed;
  }
  for (const auto token : observations.alive) {
    has_changed = silent_.Clear(token) || has_changed;
  }
  for (const auto token : observations.failing) {
    has_changed = failing_.Add(reporter, token, now) || has_changed;
  }
  return has_changed;
}

auto HealthAggregator::Suspects(TimePoint now) const
    -> std::vector<SharedSuspect> {
  auto suspects = std::vector<SharedSuspect>();
  silent_.AppendSuspects(Suspicion::kSilent, now, suspects);
  failing_.AppendSuspects(Suspicion::kFailing, now, suspects);
  return suspects;
}

}  // namespace hemlockwick
