#include "Edge/report_funnel.h"

#include <utility>

namespace hemlockwick {

namespace {

// How often a reporter of an endpoint is named.
constexpr Duration kRepeatTime = std::chrono::milliseconds(500);

// Bounds the memory: reporters at a time.
constexpr std::size_t kMaxWaiting = 256;

}  // namespace

void ReportFunnel::Add(const SignReport& report, TimePoint now) {
  if (waiting_.size() >= kMaxWaiting && !waiting_.contains(report.reporter)) {
    return;
  }
  auto news = EndpointObservations();
  for (const auto token : report.news.silent) {
    if (Passes(silent_, token, report.reporter, now)) {
      news.silent.push_back(token);
    }
  }
  for (const auto token : report.news.failing) {
    if (Passes(failing_, token, report.reporter, now)) {
      news.failing.push_back(token);
    }
  }
  for (const auto token : report.news.alive) {
    // Reports from before are refuted.
    silent_.erase(token);
    news.alive.push_back(token);
  }
  if (!news.empty()) {
    waiting_[report.reporter].Merge(news);
  }
}

auto ReportFunnel::Passes(Passed& passed, FlowToken token, InstanceId reporter,
                          TimePoint now) -> bool {
  if (passed.size() >= kMaxReportedEndpoints && !passed.contains(token)) {
    passed.clear();
  }
  auto& reporters = passed[token];
  std::erase_if(reporters, [now](const auto& entry) {
    return now - entry.second >= kReportTime;
  });
  const auto found = reporters.find(reporter);
  if (found == reporters.end()) {
    return reporters.size() < kReportersNeeded &&
           reporters.emplace(reporter, now).second;
  }
  if (now - found->second < kRepeatTime) {
    return false;
  }
  found->second = now;
  return true;
}

auto ReportFunnel::Take() -> std::vector<SignReport> {
  auto reports = std::vector<SignReport>();
  for (auto& [reporter, news] : std::exchange(waiting_, {})) {
    reports.push_back({reporter, std::move(news)});
  }
  return reports;
}

}  // namespace hemlockwick
