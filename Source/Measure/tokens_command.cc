#include "Measure/tokens_command.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cxxopts.hpp>
#include <iostream>
#include <numeric>
#include <optional>
#include <string>
#include <utility>

#include "Command/options.h"
#include "Measure/report.h"
#include "Measure/token_pattern.h"
#include "Measure/token_world.h"

namespace hemlockwick {

namespace {

// Share of new flows that may go to endpoints that have been dark for a
// second. A caller's first copy comes after 200 ms, the second after 600 ms.
constexpr double kDarkShareBound = 0.01;
// The same for endpoints that fail most requests: a fifth of their share of the
// endpoints, so that they are tried again now and then.
constexpr double kFailingShareBound = 0.05;

auto NewOptions() -> cxxopts::Options {
  auto options = cxxopts::Options("hemlockwick-measure tokens",
                                  std::string(TokensCommand().summary()));
  options.add_options()                                      //
      ("seed", "Seed of the random numbers",                 //
       cxxopts::value<std::uint64_t>()->default_value("1"))  //
      ("pattern", "Play this pattern alone",                 //
       cxxopts::value<std::string>())                        //
      ("json", "Print JSON")                                 //
      ("h,help", "Show this help");
  return options;
}

// Bounds on learned capacity, see docs/design/hard-load.md.
constexpr double kShareErrorBound = 0.1;
constexpr double kWeightedImbalanceBound = 1.1;
constexpr double kLateBound = 0.5;  // Of those without learned capacity.
// Openings of an endpoint on average from which on chance moves the busiest of
// a hundred by less than a twentieth.
constexpr std::size_t kOpeningsForImbalance = 2500;

auto ChoosePatterns(const std::optional<std::string>& name)
    -> Result<std::vector<TokenPattern>> {
  auto patterns = TokenPatterns();
  for (auto& pattern : CapacityPatterns()) {
    patterns.push_back(std::move(pattern));
  }
  if (!name) {
    return patterns;
  }
  auto known = std::string();
  for (const auto& pattern : patterns) {
    known += (known.empty() ? "'" : ", '") + pattern.name + "'";
  }
  std::erase_if(patterns,
                [&name](const auto& pattern) { return pattern.name != *name; });
  if (patterns.empty()) {
    return Fail(ErrorCode::kNotFound, "there is no pattern '" + *name + "'",
                "name one of " + known);
  }
  return patterns;
}

// A pattern played by the product and by its rivals.
struct Plays {
  TokenOutcome own;
  TokenOutcome hash;
  TokenOutcome oracle;
  TokenOutcome central;
};

auto PlayAll(const TokenPattern& pattern, std::uint64_t seed) -> Plays {
  return {OwnTokenWorld(pattern, seed).Run(),
          HashTokenWorld(pattern, seed).Run(),
          OracleTokenWorld(pattern, seed).Run(),
          HashTokenWorld(WithCentralQueue(pattern), seed).Run()};
}

// Adds the figure of each rival to the row.
template <typename Figure>
void AddRivals(const Plays& plays, Figure&& figure, ReportRow& row) {
  row.rivals = {{"hash", figure(plays.hash)},
                {"oracle", figure(plays.oracle)},
                {"central queue", figure(plays.central)}};
}

void ReportMisses(const std::string& name, const Plays& plays, Report& report) {
  const auto missed = [](const TokenOutcome& outcome) {
    return outcome.missed_share();
  };
  // Knowing some of the open work must not be worse than knowing none.
  AddRivals(plays, missed,
            report.AtMost(name + ": late or failed",
                          NoWorseBound(plays.own, plays.hash),
                          missed(plays.own), "of requests"));
  const auto failed = [](const TokenOutcome& outcome) {
    return outcome.failed_share();
  };
  AddRivals(plays, failed,
            report.Inform(name + ": failed", failed(plays.own), "of requests"));
  for (std::size_t i = 0; i < kMissCauseCount; ++i) {
    const auto cause = static_cast<MissCause>(i);
    const auto share = [cause](const TokenOutcome& outcome) {
      return outcome.ShareOf(cause);
    };
    if (share(plays.own) > 0) {
      AddRivals(
          plays, share,
          report.Inform(name + ": missed by " + std::string(ToString(cause)),
                        share(plays.own), "of requests"));
    }
  }
}

void ReportBalance(const std::string& name, const Plays& plays,
                   Report& report) {
  report.AtMost(name + ": broken flows", 0,
                static_cast<double>(plays.own.broken_flows), "flows");
  const auto imbalance = [](const TokenOutcome& outcome) {
    return outcome.imbalance();
  };
  AddRivals(plays, imbalance,
            report.Inform(name + ": busiest endpoint over the mean",
                          imbalance(plays.own), "requests"));
  constexpr auto kShares =
      std::array{std::pair("median", 0.5), std::pair("p99", 0.99),
                 std::pair("worst", 1.0)};
  for (const auto& [label, share] : kShares) {
    const auto wait = [share = share](const TokenOutcome& outcome) {
      return std::chrono::duration<double, std::milli>(outcome.ShortWait(share))
          .count();
    };
    AddRivals(plays, wait,
              report.Inform(name + ": wait of short work, " + label,
                            wait(plays.own), "ms"));
  }
}

// A pattern played with learned capacity, without it, and by a queue before
// all slots.
struct CapacityPlays {
  TokenOutcome learned;
  TokenOutcome previous;
  TokenOutcome central;
};

template <typename Figure>
void AddRivals(const CapacityPlays& plays, Figure&& figure, ReportRow& row) {
  row.rivals = {{"without", figure(plays.previous)},
                {"central queue", figure(plays.central)}};
}

auto MeanOpenings(const TokenOutcome& outcome) -> std::size_t {
  const auto& openings = outcome.openings;
  return openings.empty() ? 0
                          : std::accumulate(openings.begin(), openings.end(),
                                            std::size_t{0}) /
                                openings.size();
}

void ReportShares(const TokenPattern& pattern, const CapacityPlays& plays,
                  Report& report) {
  const auto error = [](const TokenOutcome& outcome) {
    return outcome.share_error();
  };
  const auto differs = std::ranges::any_of(
      plays.learned.speeds, [](double speed) { return speed != 1; });
  if (differs) {
    report
        .AtMost(pattern.name + ": shares of the openings off the ideal",
                kShareErrorBound, error(plays.learned), "of the ideal")
        .rivals = {{"without", error(plays.previous)}};
  }
  const auto measure =
      pattern.name + ": busiest over the mean, relative to capacity";
  const auto figure = plays.learned.weighted_imbalance();
  auto& row =
      MeanOpenings(plays.learned) < kOpeningsForImbalance
          ? report.Inform(measure, figure, "openings")
          : report.AtMost(measure, kWeightedImbalanceBound, figure, "openings");
  row.rivals = {{"without", plays.previous.weighted_imbalance()}};
}

void MeasureCapacity(const TokenPattern& pattern, std::uint64_t seed,
                     Report& report) {
  const auto plays =
      CapacityPlays{OwnTokenWorld(pattern, seed, true).Run(),
                    OwnTokenWorld(pattern, seed).Run(),
                    HashTokenWorld(WithCentralQueue(pattern), seed).Run()};
  ReportShares(pattern, plays, report);
  const auto late = [](const TokenOutcome& outcome) {
    return outcome.counted_wait_share();
  };
  AddRivals(plays, late,
            report.AtMost(
                pattern.name + ": missed in calm seconds, except by long work",
                kLateBound * late(plays.previous), late(plays.learned),
                "of requests"));
  const auto missed = [](const TokenOutcome& outcome) {
    return outcome.missed_share();
  };
  AddRivals(plays, missed,
            report.Inform(pattern.name + ": late or failed",
                          missed(plays.learned), "of requests"));
  const auto failed = [](const TokenOutcome& outcome) {
    return outcome.failed_share();
  };
  AddRivals(plays, failed,
            report.Inform(pattern.name + ": failed", failed(plays.learned),
                          "of requests"));
  report.AtMost(pattern.name + ": broken flows", 0,
                static_cast<double>(plays.learned.broken_flows), "flows");
}

void Measure(const TokenPattern& pattern, std::uint64_t seed, Report& report) {
  const auto plays = PlayAll(pattern, seed);
  ReportMisses(pattern.name, plays, report);
  ReportBalance(pattern.name, plays, report);
  if (MakesFail(pattern.fault)) {
    const auto is_dark = pattern.fault == PatternFault::kDark;
    report
        .AtMost(pattern.name + ": flows to faulty endpoints",
                is_dark ? kDarkShareBound : kFailingShareBound,
                plays.own.faulty_share(), "of flows")
        .rivals = {{"hash", plays.hash.faulty_share()}};
  }
}

}  // namespace

auto TokensCommand::Run(const std::vector<std::string>& arguments) -> ExitCode {
  return RunWithOptions(
      NewOptions(), arguments,
      [](const cxxopts::ParseResult& parsed) -> Result<ExitCode> {
        const auto seed = parsed["seed"].as<std::uint64_t>();
        const auto name =
            parsed.count("pattern") > 0
                ? std::optional(parsed["pattern"].as<std::string>())
                : std::nullopt;
        BOOST_LEAF_AUTO(patterns, ChoosePatterns(name));
        auto report =
            Report("Placement by tokens, seed " + std::to_string(seed));
        for (const auto& pattern : patterns) {
          if (pattern.IsForCapacity()) {
            MeasureCapacity(pattern, seed, report);
          } else {
            Measure(pattern, seed, report);
          }
        }
        return report.Print(std::cout, parsed.count("json") > 0);
      });
}

}  // namespace hemlockwick
