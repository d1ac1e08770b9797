#include "Measure/flow_measure.h"

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <thread>
#include <utility>

#include "Command/options.h"
#include "Flow/bucket_table.h"
#include "Measure/flow_bench.h"
#include "Measure/flow_run.h"
#include "Measure/flow_schedule.h"
#include "Measure/report.h"

namespace hemlockwick {

namespace {

constexpr std::size_t kWorkers = 3;
constexpr std::size_t kPairFlowsPerEndpoint = 200;

// The bound on the balance holds for this many flows per endpoint.
constexpr double kMaxImbalance = 1.10;
constexpr std::size_t kBalanceFlowsPerEndpoint = 2000;

constexpr double kMaxControlBytes = 3000;
constexpr double kMaxDecisionRatio = 3;
constexpr double kMaxRecordBytes = 64;

// Flows per endpoint of the load run: 400,000 flows on 18 endpoints.
constexpr std::size_t kLoadFlowsPerEndpoint = 22'223;

using PureHash = RivalNode<RivalKind::kPureHash>;
using LocalTable = RivalNode<RivalKind::kLocalTable>;
using ReplicatedTable = RivalNode<RivalKind::kReplicatedTable>;

// One schedule under every way.
struct Trial {
  FlowSchedule schedule;
  bool with_rivals = false;
  FlowRunResult own;
  FlowRunResult pure_hash;
  FlowRunResult local_table;
  FlowRunResult replicated;
};

auto Has(const FlowSchedule& schedule, FlowEventKind kind) -> bool {
  return std::any_of(schedule.events.begin(), schedule.events.end(),
                     [kind](const FlowEvent& e) { return e.kind == kind; });
}

auto IsPair(const FlowSchedule& schedule) -> bool {
  return schedule.name.find_first_of("+,") != std::string::npos;
}

auto LoadSchedule() -> FlowSchedule {
  auto schedule = FlowSchedule();
  schedule.name = "load";
  schedule.duration = std::chrono::seconds(150);
  schedule.flows_per_endpoint = kLoadFlowsPerEndpoint;
  auto replace = FlowEvent();
  replace.kind = FlowEventKind::kReplace;
  replace.at = std::chrono::seconds(20);
  auto kill = FlowEvent();
  kill.kind = FlowEventKind::kKill;
  kill.at = std::chrono::seconds(80);
  kill.target = 2;
  schedule.events = {replace, kill};
  return schedule;
}

// Runs the tasks on kWorkers threads.
void RunAll(const std::vector<std::function<void()>>& tasks) {
  auto next = std::atomic<std::size_t>(0);
  auto workers = std::vector<std::thread>();
  for (std::size_t i = 0; i < kWorkers; ++i) {
    workers.emplace_back([&tasks, &next] {
      for (auto task = next++; task < tasks.size(); task = next++) {
        tasks[task]();
      }
    });
  }
  for (auto& worker : workers) {
    worker.join();
  }
}

void RunTrials(std::vector<Trial>& trials, std::uint64_t seed) {
  auto tasks = std::vector<std::function<void()>>();
  for (auto& trial : trials) {
    const auto& plan = trial.schedule;
    tasks.emplace_back([&trial, &plan, seed] {
      trial.own = FlowRun<RouterNode>(plan, seed).Run();
    });
    if (!trial.with_rivals) {
      continue;
    }
    tasks.emplace_back([&trial, &plan, seed] {
      trial.pure_hash = FlowRun<PureHash>(plan, seed).Run();
    });
    tasks.emplace_back([&trial, &plan, seed] {
      trial.local_table = FlowRun<LocalTable>(plan, seed).Run();
    });
    tasks.emplace_back([&trial, &plan, seed] {
      trial.replicated = FlowRun<ReplicatedTable>(plan, seed).Run();
    });
  }
  RunAll(tasks);
}

auto StandardTrials() -> std::vector<Trial> {
  auto trials = std::vector<Trial>();
  auto load = Trial();
  load.schedule = LoadSchedule();
  trials.push_back(load);
  auto day = Trial();
  day.schedule = DayFlowSchedule();
  trials.push_back(day);
  for (auto& schedule : StandardFlowSchedules()) {
    auto trial = Trial();
    trial.schedule = std::move(schedule);
    trial.with_rivals = !IsPair(trial.schedule);
    if (IsPair(trial.schedule)) {
      trial.schedule.flows_per_endpoint = kPairFlowsPerEndpoint;
    }
    trials.push_back(std::move(trial));
  }
  return trials;
}

void ReportTrial(Report& report, const Trial& trial) {
  auto& row = report.AtMost("broken flows, " + trial.schedule.name, 0,
                            static_cast<double>(trial.own.broken), "");
  if (!trial.with_rivals) {
    return;
  }
  row.rivals = {
      {"pure hash", static_cast<double>(trial.pure_hash.broken)},
      {"local table", static_cast<double>(trial.local_table.broken)},
      {"replicated table", static_cast<double>(trial.replicated.broken)}};
}

// One row for all pairs that `selects` names; a row for each that broke flows.
void ReportPairs(Report& report, const std::string& title,
                 const std::vector<Trial>& trials,
                 const std::function<bool(const FlowSchedule&)>& selects) {
  auto broken = std::size_t{0};
  auto excused = std::size_t{0};
  auto runs = std::size_t{0};
  for (const auto& trial : trials) {
    if (!IsPair(trial.schedule) || !selects(trial.schedule)) {
      continue;
    }
    ++runs;
    const auto counted = HasTwoDeaths(trial.schedule) ? trial.own.excused : 0;
    excused += counted;
    broken += trial.own.broken - counted;
    if (trial.own.broken > counted) {
      report.Inform("  of these in " + trial.schedule.name,
                    static_cast<double>(trial.own.broken - counted), "");
    }
  }
  report.AtMost("broken flows, " + std::to_string(runs) + " pairs " + title, 0,
                static_cast<double>(broken), "");
  if (excused > 0) {
    report.Inform("  flows whose homes died both", static_cast<double>(excused),
                  "");
  }
}

void ReportAllPairs(Report& report, const std::vector<Trial>& trials) {
  const auto cut = [](const FlowSchedule& schedule) {
    return Has(schedule, FlowEventKind::kPartition);
  };
  ReportPairs(report, "of planned changes, pauses, one death", trials,
              [&cut](const FlowSchedule& schedule) {
                return !cut(schedule) && !HasTwoDeaths(schedule);
              });
  ReportPairs(report, "of two deaths", trials, HasTwoDeaths);
  ReportPairs(report, "with a partition", trials, cut);
}

void ReportSums(Report& report, const std::vector<Trial>& trials) {
  auto foreign = std::size_t{0};
  auto late = std::size_t{0};
  auto imbalance = 0.0;
  auto packets = std::size_t{0};
  auto full_size = false;
  for (const auto& trial : trials) {
    foreign += trial.own.foreign;
    late += trial.own.late_openings;
    packets += trial.own.packets;
    if (trial.with_rivals) {
      imbalance = std::max(imbalance, trial.own.imbalance);
      full_size = full_size ||
                  trial.schedule.flows_per_endpoint >= kBalanceFlowsPerEndpoint;
    }
  }
  report.Inform("packets decided", static_cast<double>(packets), "");
  report.AtMost("packets to another service's endpoint", 0,
                static_cast<double>(foreign), "");
  report.AtMost("flows opened on an endpoint 3 s after it left", 0,
                static_cast<double>(late), "");
  const auto balance = std::string("open flows per endpoint, max/mean");
  if (full_size) {
    report.AtMost(balance, kMaxImbalance, imbalance, "");
  } else {
    report.Inform(balance, imbalance, "");
  }
}

void ReportCosts(Report& report, const Trial& trial) {
  const auto& own = trial.own;
  const auto& stats = own.stats;
  report.AtMost("control bytes in 10 s, " + trial.schedule.name,
                kMaxControlBytes, own.control_bytes_per_second, "B/s");
  report.Inform("  new flows", own.openings_per_second, "/s");
  report.Inform(
      "  extra hops per packet",
      static_cast<double>(own.extra_hops) / static_cast<double>(own.packets),
      "");
  report.Inform(
      "  SYNs sent again, share of openings",
      static_cast<double>(own.delayed_syns) / static_cast<double>(own.opened),
      "");
  report.Inform("  share of buckets unsettled",
                static_cast<double>(stats.unsettled_buckets) /
                    static_cast<double>(stats.total_buckets),
                "");
  const auto unsettled = std::max<std::size_t>(1, stats.unsettled_buckets);
  report.Inform(
      "  records per unsettled bucket",
      static_cast<double>(stats.records) / static_cast<double>(unsettled), "");
  report.AtMost("memory per flow record", kMaxRecordBytes,
                stats.bytes_per_record, "B");
}

template <typename Algorithm>
void ReportTable(Report& report, const std::string& algorithm) {
  constexpr auto kEndpoints = std::size_t{14};
  constexpr auto kBuckets = std::uint32_t{2048};
  const auto cost = MeasureTable<Algorithm>(kEndpoints, kBuckets);
  report.Inform("  build, " + algorithm, cost.build_seconds * 1e6, "us");
  report.Inform("  max/mean buckets, " + algorithm, cost.imbalance, "");
  report.Inform("  moved per needed bucket, " + algorithm,
                cost.moved_share / cost.needed_share, "");
}

void ReportSpeed(Report& report, std::uint64_t seed) {
  const auto cost = MeasureDecision(seed);
  report.AtMost("settled decision to bare hash and lookup", kMaxDecisionRatio,
                cost.ratio(), "");
  report.Inform("  settled decision", cost.decision_nanoseconds, "ns");
  report.Inform("  bare hash and lookup", cost.lookup_nanoseconds, "ns");
  ReportTable<MaglevAlgorithm>(report, "Maglev");
  ReportTable<RendezvousAlgorithm>(report, "rendezvous");
}

auto StandardReport(std::uint64_t seed) -> Report {
  auto report = Report("flows, seed " + std::to_string(seed));
  auto trials = StandardTrials();
  RunTrials(trials, seed);
  for (const auto& trial : trials) {
    if (!IsPair(trial.schedule)) {
      ReportTrial(report, trial);
    }
  }
  ReportAllPairs(report, trials);
  ReportSums(report, trials);
  ReportCosts(report, trials.front());
  ReportSpeed(report, seed);
  return report;
}

auto ScheduleReport(const FlowSchedule& schedule, std::uint64_t seed)
    -> Report {
  auto report =
      Report("flows, " + schedule.name + ", seed " + std::to_string(seed));
  auto trials = std::vector<Trial>(1);
  trials.front().schedule = schedule;
  trials.front().with_rivals = true;
  RunTrials(trials, seed);
  ReportTrial(report, trials.front());
  ReportSums(report, trials);
  ReportCosts(report, trials.front());
  return report;
}

auto Measure(const cxxopts::ParseResult& parsed) -> Result<ExitCode> {
  const auto seed = parsed["seed"].as<std::uint64_t>();
  const auto json = parsed.count("json") > 0;
  if (parsed.count("schedule") == 0) {
    return StandardReport(seed).Print(std::cout, json);
  }
  BOOST_LEAF_AUTO(schedule,
                  ReadFlowSchedule(parsed["schedule"].as<std::string>()));
  return ScheduleReport(schedule, seed).Print(std::cout, json);
}

}  // namespace

auto FlowMeasure::Run(const std::vector<std::string>& arguments) -> ExitCode {
  auto options =
      cxxopts::Options("hemlockwick-measure flows", std::string(summary()));
  options.add_options()("seed", "Seed of the random numbers",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "schedule", "Run this schedule only", cxxopts::value<std::string>())(
      "json", "Print JSON")("h,help", "Print this help");
  return RunWithOptions(std::move(options), arguments, &Measure);
}

}  // namespace hemlockwick
