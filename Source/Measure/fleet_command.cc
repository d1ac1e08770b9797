#include "Measure/fleet_command.h"

#include <cmath>
#include <fstream>
#include <iostream>
#include <iterator>

#include "Command/instance_query.h"
#include "Command/options.h"
#include "Measure/fleet_measure.h"
#include "Measure/fleet_schedule.h"
#include "Measure/fleet_target.h"
#include "Measure/report.h"

namespace hemlockwick {

namespace {

// Bounds of the measures, as the users state them.
constexpr double kInForceTodaySeconds = 2;
constexpr double kInForceLargeSeconds = 4;
constexpr double kPlatformReads = 50;
constexpr double kDeathSeconds = 3;
constexpr double kBytesToday = 1000;
constexpr double kBytesLarge = 4000;
// An exponent below 1 means that reads grow more slowly than the fleet.
constexpr double kReadsExponent = 1;

constexpr double kLoss = 0.1;
constexpr double kHeavyLoss = 0.2;
constexpr Duration kPause = std::chrono::seconds(1);
constexpr std::size_t kLargeDataCentre = 500;
constexpr std::size_t kSchedules = 1000;
constexpr Duration kTodaysInterval = std::chrono::seconds(30);
constexpr Duration kSettleTime = std::chrono::seconds(20);

auto NewOptions() -> cxxopts::Options {
  auto options = cxxopts::Options("hemlockwick-measure fleet",
                                  std::string(FleetCommand().summary()));
  options.add_options()                                                    //
      ("seed", "Seed of all random numbers",                               //
       cxxopts::value<std::uint64_t>()->default_value("1"))                //
      ("schedule", "Run the faults of a file on seven instances instead",  //
       cxxopts::value<std::string>(), "FILE")                              //
      ("largest", "Measure platform reads at 2,000 instances too")         //
      ("json", "Print JSON")                                               //
      ("h,help", "Show this help");
  return options;
}

auto LargeShape(double loss) -> FleetShape {
  return FleetShape{{kLargeDataCentre}, loss};
}

// Mean time between two changes at the rate that the design has to carry.
auto TargetInterval() -> Duration {
  return Duration(
      static_cast<Duration::rep>(1e9 / FleetTarget().changes_per_second()));
}

void MeasureToday(std::uint64_t seed, Report& report) {
  const auto lossy = MeasureChanges(
      ChangeRun{TodaysShape(kLoss), {}, 20, kTodaysInterval}, seed);
  report.AtMost("in force everywhere, 7 instances, 10% loss",
                kInForceTodaySeconds, ToSeconds(lossy.slowest), "s");
  const auto quiet =
      MeasureChanges(ChangeRun{TodaysShape(0), {}, 20, kTodaysInterval}, seed);
  report.AtMost("control bytes of any of 7, a change each 30 s", kBytesToday,
                quiet.highest_bytes, "B/s");
  report.Inform("the same under 10% loss", lossy.highest_bytes, "B/s");
  const auto busy =
      MeasureChanges(ChangeRun{TodaysShape(0), {}, 40, TargetInterval()}, seed);
  report.Inform("the same at 51,000 changes a day", busy.highest_bytes, "B/s");
  report.AtMost("platform reads, 7 instances, 51,000 changes a day",
                kPlatformReads, busy.reads, "1/s");
}

void MeasureLarge(std::uint64_t seed, Report& report) {
  const auto config = ConfigSize{3, 200, 9};
  const auto outcome = MeasureChanges(
      ChangeRun{LargeShape(kLoss), config, 12, TargetInterval()}, seed);
  report.AtMost("in force everywhere, 500 instances, 10% loss",
                kInForceLargeSeconds, ToSeconds(outcome.slowest), "s");
  report.AtMost("control bytes of any of 500, 51,000 changes a day",
                kBytesLarge, outcome.highest_bytes, "B/s");
  report.Inform("the same, mean over instances", outcome.mean_bytes, "B/s");
}

void MeasureReads(std::uint64_t seed, bool with_largest, Report& report) {
  struct Size {
    std::vector<std::size_t> instances;
    double total;
  };
  auto sizes = std::vector<Size>{
      {{3, 2, 2}, 7}, {{24, 23, 23}, 70}, {{167, 167, 166}, 500}};
  if (with_largest) {
    sizes.push_back(Size{{500, 500, 500, 500}, 2000});
  }
  auto first = 0.0;
  for (const auto& size : sizes) {
    const auto run = ChangeRun{
        FleetShape{size.instances, 0}, {}, 3, std::chrono::seconds(5)};
    const auto reads = MeasureChanges(run, seed).reads;
    report.Inform("platform reads, " +
                      std::to_string(static_cast<int>(size.total)) +
                      " instances, a change each 5 s",
                  reads, "1/s");
    if (first == 0) {
      first = reads;
    } else if (&size == &sizes.back()) {
      const auto exponent =
          std::log(reads / first) / std::log(size.total / sizes.front().total);
      report.AtMost("growth of reads with the fleet, exponent", kReadsExponent,
                    exponent, "");
    }
  }
}

void MeasureMembership(std::uint64_t seed, Report& report) {
  report.AtMost("death known everywhere, 7 instances", kDeathSeconds,
                ToSeconds(MeasureDeaths(TodaysShape(0), 20, seed)), "s");
  report.Inform("the same under 10% loss",
                ToSeconds(MeasureDeaths(TodaysShape(kLoss), 20, seed)), "s");
  report.AtMost("death known everywhere, 500 instances", kDeathSeconds,
                ToSeconds(MeasureDeaths(LargeShape(0), 3, seed)), "s");
  const auto deaths = [seed](const FleetShape& shape, Duration pause,
                             Duration time) {
    return static_cast<double>(MeasureFalseDeaths(shape, pause, time, seed));
  };
  report.AtMost("false deaths, 7 instances, pauses of 1 s, 10 min", 0,
                deaths(TodaysShape(0), kPause, std::chrono::minutes(10)), "");
  report.AtMost(
      "false deaths, 7 instances, 20% loss, 10 min", 0,
      deaths(TodaysShape(kHeavyLoss), Duration(0), std::chrono::minutes(10)),
      "");
  report.AtMost("false deaths, 500 instances, pauses of 1 s, 15 s", 0,
                deaths(LargeShape(0), kPause, std::chrono::seconds(15)), "");
  report.AtMost(
      "false deaths, 500 instances, 20% loss, 15 s", 0,
      deaths(LargeShape(kHeavyLoss), Duration(0), std::chrono::seconds(15)),
      "");
}

void MeasureReverts(std::uint64_t seed, Report& report) {
  const auto outcome = MeasureSchedules(kSchedules, seed);
  report.AtMost("reverts over 1,000 schedules", 0,
                static_cast<double>(outcome.reverts), "");
  report.AtMost("schedules without the highest version at the end", 0,
                static_cast<double>(outcome.unsettled), "");
  if (outcome.first_failed_seed != 0) {
    report.Inform("first seed that failed",
                  static_cast<double>(outcome.first_failed_seed), "");
  }
}

// Runs the faults of a file and reports what became of the versions.
auto RunSchedule(const std::string& path, std::uint64_t seed, Report& report)
    -> Result<void> {
  auto file = std::ifstream(path);
  if (!file) {
    return Fail(ErrorCode::kNotFound, "cannot read '" + path + "'",
                "check the name");
  }
  const auto text = std::string(std::istreambuf_iterator<char>(file), {});
  BOOST_LEAF_AUTO(schedule, ParseFleetSchedule(text));
  auto fleet = FleetSimulation(TodaysShape(kLoss), seed);
  auto publisher = ConfigPublisher(ConfigSize(), seed);
  fleet.Publish(publisher.NextVersion(fleet.now()));
  RunFleetSchedule(schedule, publisher, fleet);
  fleet.RunFor(kSettleTime);
  report.AtMost("reverts", 0, static_cast<double>(fleet.reverts()), "");
  report.AtMost("false deaths", 0, static_cast<double>(fleet.false_deaths()),
                "");
  report.Inform("highest version published",
                static_cast<double>(publisher.version().value()), "");
  report.Inform("lowest version in force",
                static_cast<double>(fleet.LowestInForce().value()), "");
  return {};
}

}  // namespace

auto FleetCommand::Run(const std::vector<std::string>& arguments) -> ExitCode {
  return RunWithOptions(
      NewOptions(), arguments,
      [](const cxxopts::ParseResult& parsed) -> Result<ExitCode> {
        const auto seed = parsed["seed"].as<std::uint64_t>();
        auto report = Report("Fleet, seed " + std::to_string(seed));
        if (parsed.count("schedule") > 0) {
          BOOST_LEAF_CHECK(
              RunSchedule(parsed["schedule"].as<std::string>(), seed, report));
        } else {
          MeasureToday(seed, report);
          MeasureMembership(seed, report);
          MeasureReverts(seed, report);
          MeasureReads(seed, parsed.count("largest") > 0, report);
          MeasureLarge(seed, report);
        }
        return report.Print(std::cout, parsed.count("json") > 0);
      });
}

}  // namespace hemlockwick
