#include "Edge/relay_call.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>
#include <vector>

#include "Edge/packed_address.h"
#include "Edge/shared_speeds.h"

namespace hemlockwick {

namespace {

constexpr std::string_view kDirectoryPath = "/directory";
constexpr std::string_view kReportsPath = "/signs";

// Limits on the endpoints of each list in a report, and on the reports in one
// call.
constexpr std::size_t kMaxTokens = 64;
constexpr std::size_t kMaxReports = 256;

// Upper bound of the capacity that a watcher may claim.
constexpr std::uint64_t kMaxCapacity = 4096;

// The lists of endpoints in a report and their names in a query.
struct ReportField {
  std::string_view name;
  std::vector<FlowToken> EndpointObservations::*tokens;
};
constexpr auto kReportFields =
    std::array<ReportField, 3>{{{"silent", &EndpointObservations::silent},
                                {"alive", &EndpointObservations::alive},
                                {"failing", &EndpointObservations::failing}}};

// The name of a reply summary in a query. Its value is, from the highest bits,
// the number of replies, their mean ratio in 1/64, both of 12 bits, and the
// token.
constexpr std::string_view kRepliesField = "replies";
constexpr auto kRatioShift = 32;
constexpr auto kNumberShift = 44;
constexpr std::uint64_t kTwelveBits = 0xFFF;
constexpr double kRatioSteps = 64;
constexpr auto kMaxRatioUnits =
    static_cast<std::uint64_t>(kMaxSummaryRatio * kRatioSteps);

auto PackSummary(const ReplySummary& summary) -> std::uint64_t {
  const auto ratio = std::clamp(summary.ratio, 0.0, kMaxSummaryRatio);
  const auto units =
      static_cast<std::uint64_t>(std::lround(ratio * kRatioSteps));
  const auto replies = std::uint64_t{
      std::min<std::uint32_t>(summary.replies, kMaxSummaryReplies)};
  return replies << kNumberShift | units << kRatioShift | summary.token.value();
}

// Returns nullopt when the number or the ratio is not one that PackSummary
// writes for a summary.
auto UnpackSummary(std::uint64_t value) -> std::optional<ReplySummary> {
  const auto replies = value >> kNumberShift;
  const auto units = value >> kRatioShift & kTwelveBits;
  if (replies == 0 || replies > kMaxSummaryReplies || units > kMaxRatioUnits) {
    return std::nullopt;
  }
  return ReplySummary{FlowToken(static_cast<std::uint32_t>(value)),
                      static_cast<std::uint32_t>(replies),
                      static_cast<double>(units) / kRatioSteps};
}

// Maximum hold time of a call.
constexpr std::uint64_t kMaxWaitMillis = 30'000;

auto ParseNumber(std::string_view text) -> std::optional<std::uint64_t> {
  auto value = std::uint64_t{0};
  const auto* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  const auto is_whole = parsed.ec == std::errc() && parsed.ptr == end;
  return is_whole ? std::optional(value) : std::nullopt;
}

// Adds a summary to the last report, when there is one and it has room.
void AddSummary(const ReplySummary& summary, HealthReports& reports) {
  if (reports.reports.empty()) {
    return;
  }
  auto& replies = reports.reports.back().observations.replies;
  if (replies.size() < kMaxReplySummaries) {
    replies.push_back(summary);
  }
}

auto InstancesOf(std::uint64_t value) -> std::uint32_t {
  return static_cast<std::uint32_t>(
      std::min(value, std::uint64_t{kMaxInstances}));
}

using QueryFields = std::vector<std::pair<std::string_view, std::uint64_t>>;

// The fields of a query, all of which are numbers; nullopt when the path
// differs or a value is not a number.
auto ParseFields(std::string_view target, std::string_view path)
    -> std::optional<QueryFields> {
  const auto question_mark = target.find('?');
  if (question_mark == std::string_view::npos ||
      target.substr(0, question_mark) != path) {
    return std::nullopt;
  }
  auto fields = QueryFields();
  auto rest = target.substr(question_mark + 1);
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const auto field = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    const auto equals = std::min(field.find('='), field.size());
    const auto value =
        ParseNumber(field.substr(std::min(equals + 1, field.size())));
    if (!value) {
      return std::nullopt;
    }
    fields.emplace_back(field.substr(0, equals), *value);
  }
  return fields;
}

}  // namespace

auto FormatQuery(const RelayQuery& query) -> std::string {
  auto target = std::string(kDirectoryPath) +
                "?version=" + std::to_string(query.version.value()) +
                "&wait=" + std::to_string(ToMillis(query.wait));
  if (query.after) {
    target += "&after=" + std::to_string(query.after->revision.value());
    if (query.after->era != Era()) {
      target += "&era=" + std::to_string(query.after->era.value());
    }
  }
  const auto& watcher = query.watcher;
  if (watcher.relay.port != Port()) {
    target += "&relay=" + std::to_string(PackAddress(watcher.relay)) +
              "&data_centre=" + std::to_string(watcher.data_centre.value()) +
              "&capacity=" + std::to_string(watcher.capacity) +
              "&room=" + std::to_string(watcher.has_capacity ? 1 : 0);
  }
  if (watcher.count.instance != InstanceId()) {
    target += "&instance=" + std::to_string(watcher.count.instance.value()) +
              "&instances=" + std::to_string(watcher.count.instances);
  }
  return target;
}

auto ParseQuery(std::string_view target) -> std::optional<RelayQuery> {
  const auto fields = ParseFields(target, kDirectoryPath);
  if (!fields) {
    return std::nullopt;
  }
  auto query = RelayQuery();
  auto era = Era();
  for (const auto& [name, value] : *fields) {
    if (name == "after") {
      query.after = Position{Era(), Revision(value)};
    } else if (name == "era") {
      era = Era(value);
    } else if (name == "version") {
      query.version = Version(value);
    } else if (name == "wait") {
      query.wait = std::chrono::milliseconds(std::min(value, kMaxWaitMillis));
    } else if (name == "relay") {
      query.watcher.relay = UnpackAddress(value);
    } else if (name == "data_centre") {
      query.watcher.data_centre = DataCentreId(value);
    } else if (name == "capacity") {
      query.watcher.capacity =
          static_cast<std::uint32_t>(std::min(value, kMaxCapacity));
    } else if (name == "room") {
      query.watcher.has_capacity = value != 0;
    } else if (name == "instance") {
      query.watcher.count.instance = InstanceId(value);
    } else if (name == "instances") {
      query.watcher.count.instances = std::max(InstancesOf(value), 1U);
    }
  }
  if (query.after) {
    query.after->era = era;
  }
  return query;
}

auto FormatReports(const HealthReports& reports) -> std::string {
  auto target = std::string(kReportsPath) +
                "?peer=" + std::to_string(reports.from_peer ? 1 : 0);
  if (reports.root) {
    target += "&root=" + std::to_string(reports.root->instance.value()) +
              "&instances=" + std::to_string(reports.root->instances);
  }
  for (const auto& report : reports.reports) {
    target += "&from=" + std::to_string(report.reporter.value());
    for (const auto& [name, tokens] : kReportFields) {
      for (const auto token : report.observations.*tokens) {
        target += "&" + std::string(name) + "=" + std::to_string(token.value());
      }
    }
    for (const auto& summary : report.observations.replies) {
      target += "&" + std::string(kRepliesField) + "=" +
                std::to_string(PackSummary(summary));
    }
  }
  return target;
}

auto ParseReports(std::string_view target) -> std::optional<HealthReports> {
  const auto fields = ParseFields(target, kReportsPath);
  if (!fields) {
    return std::nullopt;
  }
  auto result = HealthReports();
  for (const auto& [name, value] : *fields) {
    if (name == "peer") {
      result.from_peer = value != 0;
      continue;
    }
    if (name == "root") {
      result.root = InstanceCount{InstanceId(value)};
      continue;
    }
    if (name == "instances" && result.root) {
      result.root->instances = InstancesOf(value);
      continue;
    }
    if (name == "from" && result.reports.size() < kMaxReports) {
      result.reports.push_back({InstanceId(value), {}});
      continue;
    }
    if (name == kRepliesField) {
      const auto summary = UnpackSummary(value);
      if (!summary) {
        return std::nullopt;
      }
      AddSummary(*summary, result);
      continue;
    }
    const auto field =
        std::ranges::find(kReportFields, name, &ReportField::name);
    if (field == kReportFields.end() || result.reports.empty()) {
      continue;
    }
    auto& tokens = result.reports.back().observations.*(field->tokens);
    if (tokens.size() < kMaxTokens) {
      tokens.emplace_back(static_cast<std::uint32_t>(value));
    }
  }
  return result;
}

}  // namespace hemlockwick
