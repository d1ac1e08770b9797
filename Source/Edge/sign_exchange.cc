#include "Edge/sign_exchange.h"

#include <algorithm>

#include "Edge/sign_report.h"

namespace hemlockwick {

namespace {

// For how long a suspicion may be renewed by one report: until every instance
// has had its turn to try the endpoint again.
constexpr Duration kRenewTime = std::chrono::milliseconds(5000);

constexpr Duration kCleanInterval = std::chrono::seconds(5);

}  // namespace

auto SuspectReports::Add(InstanceId reporter, FlowToken token, TimePoint now)
    -> bool {
  ForgetOld(now);
  if (reports_.size() >= kMaxReportedEndpoints && !reports_.contains(token)) {
    return false;
  }
  auto& reports = reports_[token];
  const auto was_suspect = IsSuspect(reports, now);
  reports.latest[reporter] = now;
  if (AreSeveral(reports, now)) {
    reports.suspected = now;
    reports.renewer = InstanceId();
  } else if (now - reports.suspected < kRenewTime &&
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
  return now - reports.suspected < kReportTime;
}

auto SuspectReports::AreSeveral(const Reports& reports, TimePoint now) -> bool {
  const auto recent = std::ranges::count_if(
      reports.latest,
      [now](const auto& report) { return now - report.second < kReportTime; });
  return static_cast<std::size_t>(recent) >= kReportersNeeded;
}

void SuspectReports::ForgetOld(TimePoint now) {
  if (now < next_clean_) {
    return;
  }
  next_clean_ = now + kCleanInterval;
  for (auto& [token, reports] : reports_) {
    std::erase_if(reports.latest, [now](const auto& report) {
      return now - report.second >= kReportTime;
    });
  }
  std::erase_if(reports_, [now](const auto& entry) {
    const auto& reports = entry.second;
    return reports.latest.empty() && now - reports.suspected >= kRenewTime;
  });
}

auto SignExchange::Report(InstanceId reporter, const EndpointObservations& news,
                          TimePoint now) -> bool {
  auto has_changed = false;
  for (const auto token : news.silent) {
    has_changed = silent_.Add(reporter, token, now) || has_changed;
  }
  for (const auto token : news.alive) {
    has_changed = silent_.Clear(token) || has_changed;
  }
  for (const auto token : news.failing) {
    has_changed = failing_.Add(reporter, token, now) || has_changed;
  }
  return has_changed;
}

auto SignExchange::Suspects(TimePoint now) const -> std::vector<SharedSuspect> {
  auto suspects = std::vector<SharedSuspect>();
  silent_.AppendSuspects(Suspicion::kSilent, now, suspects);
  failing_.AppendSuspects(Suspicion::kFailing, now, suspects);
  return suspects;
}

}  // namespace hemlockwick
