#include "Measure/tokens_command.h"

#include <algorithm>
#include <cstdint>
#include <cxxopts.hpp>
#include <iostream>
#include <optional>

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

auto ChoosePatterns(const std::optional<std::string>& name)
    -> Result<std::vector<TokenPattern>> {
  auto patterns = TokenPatterns();
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

void Measure(const TokenPattern& pattern, std::uint64_t seed, Report& report) {
  const auto own = OwnTokenWorld(pattern, seed).Run();
  const auto hash = HashTokenWorld(pattern, seed).Run();
  const auto oracle = OracleTokenWorld(pattern, seed).Run();
  // Knowing some of the open work must not be worse than knowing none.
  report
      .AtMost(pattern.name + ": late or failed", NoWorseBound(own, hash),
              own.missed_share(), "of requests")
      .rivals = {{"hash", hash.missed_share()},
                 {"oracle", oracle.missed_share()}};
  report.Inform(pattern.name + ": failed", own.failed_share(), "of requests")
      .rivals = {{"hash", hash.failed_share()},
                 {"oracle", oracle.failed_share()}};
  if (MakesFail(pattern.fault)) {
    const auto is_dark = pattern.fault == PatternFault::kDark;
    report
        .AtMost(pattern.name + ": flows to faulty endpoints",
                is_dark ? kDarkShareBound : kFailingShareBound,
                own.faulty_share(), "of flows")
        .rivals = {{"hash", hash.faulty_share()}};
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
          Measure(pattern, seed, report);
        }
        return report.Print(std::cout, parsed.count("json") > 0);
      });
}

}  // namespace hemlockwick
