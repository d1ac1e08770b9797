#include "Command/status_command.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>
#include <utility>

#include "Command/instance_query.h"
#include "Command/options.h"
#include "Config/quantity.h"
#include "Fleet/status_report.h"
#include "Runtime/system_clock.h"
#include "Timeline/timeline.h"

namespace hemlockwick {

namespace {

// Polling interval with --wait.
constexpr Duration kWaitInterval = std::chrono::milliseconds(200);

constexpr int kColumnWidth = 16;

// The answer of one instance to a status query.
struct Answer {
  SocketAddress address;
  std::optional<StatusReport> report;  // Empty when it did not answer.
  std::string problem;
};

auto MakeOptions() -> cxxopts::Options {
  auto options =
      cxxopts::Options("hemlockwick status",
                       "Shows the version in force on each instance and since "
                       "when, and names the instances that are behind.");
  options.add_options()                                                 //
      ("from", "HTTP address of an instance; repeat it for each",       //
       cxxopts::value<std::vector<std::string>>(), "ADDRESS")           //
      ("wait", "Wait until the version is in force on all of them",     //
       cxxopts::value<std::uint64_t>(), "VERSION")                      //
      ("timeout", "How long to wait, for example 10s",                  //
       cxxopts::value<std::string>()->default_value("10s"), "TIME")     //
      ("format", "text or json",                                        //
       cxxopts::value<std::string>()->default_value("text"), "FORMAT")  //
      ("h,help", "Show this help");
  options.parse_positional({"from"});
  return options;
}

auto QueryInstance(const SocketAddress& address) -> Answer {
  return TryOr(
      [&address]() -> Result<Answer> {
        BOOST_LEAF_AUTO(text, GetFromInstance(address, "/status"));
        BOOST_LEAF_AUTO(report, DecodeStatus(text));
        return Answer{address, std::move(report), {}};
      },
      [&address](const Error& error) {
        return Answer{address, std::nullopt, error.message};
      });
}

auto QueryAll(const std::vector<SocketAddress>& addresses)
    -> std::vector<Answer> {
  auto answers = std::vector<Answer>();
  for (const auto& address : addresses) {
    answers.push_back(QueryInstance(address));
  }
  std::stable_sort(answers.begin(), answers.end(),
                   [](const Answer& left, const Answer& right) {
                     const auto key = [](const Answer& answer) {
                       return answer.report ? answer.report->data_centre + "/" +
                                                  answer.report->instance
                                            : std::string();
                     };
                     return key(left) < key(right);
                   });
  return answers;
}

auto HighestVersion(const std::vector<Answer>& answers) -> Version {
  auto highest = Version();
  for (const auto& answer : answers) {
    if (answer.report) {
      highest = std::max(highest, answer.report->version);
    }
  }
  return highest;
}

// Returns whether the instance answered and has at least version `target` in
// force.
auto IsUpToDate(const Answer& answer, Version target) -> bool {
  return answer.report && answer.report->version >= target;
}

void PrintText(const std::vector<Answer>& answers, Version target) {
  std::cout << std::left;
  for (const auto* title : {"data centre", "instance", "version"}) {
    std::cout << std::setw(kColumnWidth) << title;
  }
  std::cout << "in force since            members (alive/suspect/leaving/dead)"
               "\n";
  for (const auto& answer : answers) {
    if (!answer.report) {
      std::cout << ToString(answer.address) << ": " << answer.problem << "\n";
      continue;
    }
    const auto& report = *answer.report;
    const auto& members = report.members;
    std::cout << std::setw(kColumnWidth) << report.data_centre
              << std::setw(kColumnWidth) << report.instance
              << std::setw(kColumnWidth) << report.version.value()
              << FormatUtc(ToUnixMillis(report.in_force_since)) << "  "
              << members.alive << "/" << members.suspect << "/"
              << members.leaving << "/" << members.dead
              << (report.leaving ? "  leaving" : "")
              << (IsUpToDate(answer, target) ? "" : "  BEHIND") << "\n";
    for (const auto& data_centre : report.evacuated_data_centres) {
      std::cout << "  evacuated " << data_centre.name << " since version "
                << data_centre.since.value() << "\n";
    }
    if (!report.last_refusal.empty()) {
      std::cout << "  refused " << report.last_refusal << "\n";
    }
  }
}

void PrintJson(const std::vector<Answer>& answers, Version target) {
  auto list = nlohmann::json::array();
  for (const auto& answer : answers) {
    auto entry = nlohmann::json{{"address", ToString(answer.address)},
                                {"up_to_date", IsUpToDate(answer, target)}};
    if (answer.report) {
      entry["status"] = nlohmann::json::parse(EncodeStatus(*answer.report));
    } else {
      entry["problem"] = answer.problem;
    }
    list.push_back(std::move(entry));
  }
  std::cout << nlohmann::json{{"version", target.value()}, {"instances", list}}
                   .dump(2)
            << "\n";
}

// Queries all instances until the version is in force on each of them or
// `timeout` has passed.
auto QueryUntilUpToDate(const std::vector<SocketAddress>& addresses,
                        Version target, Duration timeout)
    -> std::vector<Answer> {
  const auto clock = SystemClock();
  const auto end = clock.Now() + timeout;
  while (true) {
    auto answers = QueryAll(addresses);
    const auto is_done = std::all_of(
        answers.begin(), answers.end(),
        [target](const Answer& answer) { return IsUpToDate(answer, target); });
    if (is_done || clock.Now() >= end) {
      return answers;
    }
    std::this_thread::sleep_for(kWaitInterval);
  }
}

auto ShowStatus(const cxxopts::ParseResult& parsed) -> Result<ExitCode> {
  const auto format = parsed["format"].as<std::string>();
  if (format != "text" && format != "json") {
    return Fail(ErrorCode::kInvalidArgument, "unknown format '" + format + "'",
                "use text or json");
  }
  if (parsed.count("from") == 0) {
    return Fail(ErrorCode::kInvalidArgument, "no instance given",
                "give --from ADDRESS");
  }
  BOOST_LEAF_AUTO(
      addresses, ParseAddresses(parsed["from"].as<std::vector<std::string>>()));
  BOOST_LEAF_AUTO(timeout, ParseDuration(parsed["timeout"].as<std::string>()));
  const auto is_waiting = parsed.count("wait") != 0;
  const auto awaited =
      is_waiting ? Version(parsed["wait"].as<std::uint64_t>()) : Version();
  const auto answers = is_waiting
                           ? QueryUntilUpToDate(addresses, awaited, timeout)
                           : QueryAll(addresses);
  const auto target = is_waiting ? awaited : HighestVersion(answers);
  if (format == "json") {
    PrintJson(answers, target);
  } else {
    PrintText(answers, target);
  }
  const auto is_everywhere = std::all_of(
      answers.begin(), answers.end(),
      [target](const Answer& answer) { return IsUpToDate(answer, target); });
  return is_everywhere ? ExitCode::kSuccess : ExitCode::kFailure;
}

}  // namespace

auto StatusCommand::Run(const std::vector<std::string>& arguments) -> ExitCode {
  return RunWithOptions(MakeOptions(), arguments, &ShowStatus);
}

}  // namespace hemlockwick
