#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "Config/config_check.h"
#include "Config/name_hash.h"
#include "Config/nearest_name.h"
#include "Config/published_value.h"
#include "Config/quantity.h"
#include "Config/reference_cycles.h"
#include "Config/utc_time.h"
#include "Config/yaml_node.h"

namespace hemlockwick {
namespace {

constexpr auto kInvalid = -1;

auto DurationMillis(const std::string& text) -> std::int64_t {
  return TryOr(
      [&text]() -> Result<std::int64_t> {
        BOOST_LEAF_AUTO(duration, ParseDuration(text));
        return duration / std::chrono::milliseconds(1);
      },
      [](const Error&) { return std::int64_t{kInvalid}; });
}

auto SizeBytes(const std::string& text) -> std::int64_t {
  return TryOr(
      [&text]() -> Result<std::int64_t> {
        BOOST_LEAF_AUTO(size, ParseSize(text));
        return static_cast<std::int64_t>(size);
      },
      [](const Error&) { return std::int64_t{kInvalid}; });
}

Test(quantity, needs_a_number_and_a_unit) {
  cr_assert(DurationMillis("250ms") == 250);
  cr_assert(DurationMillis("24h") == 86'400'000);
  cr_assert(DurationMillis("5min") == 300'000);
  cr_assert(DurationMillis("1m") == 60'000);
  cr_assert(SizeBytes("64KiB") == 65'536);
  for (const auto* text : {"", "250", "ms", "-1s", "1.5s", "1 s", "1day",
                           "9999999999h", "99999999999999999999s"}) {
    cr_assert(DurationMillis(text) == kInvalid, "accepted '%s'", text);
  }
  cr_assert(SizeBytes("64") == kInvalid);
  cr_assert(SizeBytes("64KB") == kInvalid);
}

Test(nearest_name, finds_the_closest_candidate) {
  const auto names = std::vector<std::string>{"max_deadline", "max_body"};
  cr_assert(NearestName("max_deadlin", names) == "max_deadline");
  cr_assert(NearestName("maxbody", names) == "max_body");
  cr_assert(NearestName("frobnicate", names).empty());
  cr_assert(EditDistance("kitten", "sitting") == 3);
}

Test(reference_cycles, finds_each_cycle_once) {
  using Cycles = std::vector<std::vector<std::size_t>>;
  cr_assert((FindCycles({{1}, {2}, {}}).empty()));
  cr_assert((FindCycles({{1}, {2}, {1}}) == Cycles{{1, 2}}));
  cr_assert((FindCycles({{0}, {2}, {1}}) == Cycles{{0}, {1, 2}}));
  cr_assert((FindCycles({{1, 2}, {}, {0, 1}}) == Cycles{{0, 2}}));
}

Test(name_hash, reports_two_names_with_one_hash) {
  const auto objects =
      std::vector<NamedObject>{{"a", {}}, {"bb", {}}, {"c", {}}, {"a", {}}};
  auto pointers = std::vector<const NamedObject*>();
  for (const auto& object : objects) {
    pointers.push_back(&object);
  }
  auto findings = Findings();
  ReportHashCollisions(
      "service", pointers,
      [](std::string_view name) -> std::uint64_t { return name.size(); },
      findings);
  cr_assert(findings.size() == 1);
  cr_assert(findings[0].object == "service c");
  ReportHashCollisions("service", pointers, HashName, findings);
  cr_assert(findings.size() == 1);
}

Test(utc_time, round_trips) {
  const auto parse = [](const std::string& text) {
    return TryOr(
        [&text]() -> Result<std::string> {
          BOOST_LEAF_AUTO(time, ParseUtc(text));
          return FormatUtc(time);
        },
        [](const Error&) { return std::string("invalid"); });
  };
  cr_assert(parse("2026-12-04T03:00:00Z") == "2026-12-04T03:00:00Z");
  for (const auto* text :
       {"", "2026-12-04", "2026-13-04T03:00:00Z", "2026-12-04T03:00:00Zx"}) {
    cr_assert(parse(text) == "invalid", "accepted '%s'", text);
  }
}

Test(yaml_node, bounds_nesting_and_refuses_aliases) {
  auto findings = Findings();
  cr_assert(ParseYaml("a: 1\n---\nb: [x, y]\n", "f", findings).size() == 2);
  cr_assert(findings.empty());
  cr_assert(ParseYaml(std::string(5000, '['), "f", findings).empty());
  cr_assert(ParseYaml("a: &x 1\nb: *x\n", "f", findings).empty());
  cr_assert(findings.size() == 2);
}

// At a token that it cannot consume, the yaml-cpp parser starts documents
// without end. ParseYaml must stop there with a finding.
Test(yaml_node, ends_at_text_that_the_parser_does_not_consume) {
  auto findings = Findings();
  cr_assert(ParseYaml(", a", "f", findings).size() <= 1);
  cr_assert(findings.size() == 1);
  cr_assert(findings[0].location.line == 1);
}

Test(object_checker, the_order_of_files_does_not_change_the_values) {
  auto texts = std::array<std::string, 3>{
      "kind: data_centre\nname: a\nregion: r\n",
      "kind: service\nname: s\nmode: flow\naddress: 10.0.0.1:80\n"
      "---\nkind: placement\nname: p\nservice: s\ngroup: g\n"
      "data_centres: [a]\n",
      "kind: endpoint_group\nname: g\nincludes: [h]\n"
      "---\nkind: endpoint_group\nname: h\nendpoints:\n"
      "  - {name: \"1\", data_centre: a, address: \"10.0.1.1:80\"}\n"
      "  - {name: \"2\", data_centre: a, address: \"10.0.1.2:80\"}\n"};
  auto bodies = std::vector<std::string>();
  std::sort(texts.begin(), texts.end());
  do {
    auto reader = ObjectReader();
    for (const auto& text : texts) {
      reader.Read(text, "f.yaml");
    }
    const auto outcome = CheckObjects(reader, PreviousConfig(), Version(1),
                                      FromUnixMillis(1'800'000'000'000));
    cr_assert(outcome.findings.empty());
    cr_assert(outcome.config->services[0]->endpoints.size() == 2);
    auto body = std::string();
    for (const auto& value : EncodeFleetConfig(*outcome.config)) {
      body += value.key + value.body;
    }
    bodies.push_back(body);
  } while (std::next_permutation(texts.begin(), texts.end()));
  cr_assert(bodies.size() == 6);
  cr_assert(std::count(bodies.begin(), bodies.end(), bodies[0]) == 6);
}

}  // namespace
}  // namespace hemlockwick
