#include "Edge/health_aggregator.h"

#include <criterion/criterion.h>

namespace hemlockwick {
namespace {

constexpr TimePoint kNow{std::chrono::hours(500'000)};
constexpr auto kSecond = std::chrono::seconds(1);
constexpr FlowToken kToken{7};

auto Silent() -> EndpointObservations { return {{kToken}, {}, {}}; }
auto Alive() -> EndpointObservations { return {{}, {kToken}, {}}; }
auto Failing() -> EndpointObservations { return {{}, {}, {kToken}}; }

Test(health_aggregator, one_instance_alone_makes_no_suspect) {
  auto exchange = HealthAggregator();
  for (auto report = 0; report < 10; ++report) {
    cr_assert_not(exchange.Report(InstanceId(1), Silent(), kNow));
  }
  cr_assert(exchange.Suspects(kNow).empty());
}

Test(health_aggregator, two_instances_make_a_suspect_for_a_while) {
  auto exchange = HealthAggregator();
  exchange.Report(InstanceId(1), Silent(), kNow);
  cr_assert(exchange.Report(InstanceId(2), Silent(), kNow + kSecond));
  const auto suspects = exchange.Suspects(kNow + kSecond);
  cr_assert_eq(suspects.size(), 1U);
  cr_assert(suspects.at(0).token == kToken);
  cr_assert(exchange.Suspects(kNow + 3 * kSecond).empty());
}

Test(health_aggregator, reports_far_apart_make_no_suspect) {
  auto exchange = HealthAggregator();
  exchange.Report(InstanceId(1), Silent(), kNow);
  cr_assert_not(exchange.Report(InstanceId(2), Silent(), kNow + 2 * kSecond));
}

Test(health_aggregator, an_instance_with_answers_clears_a_suspect) {
  auto exchange = HealthAggregator();
  exchange.Report(InstanceId(1), Silent(), kNow);
  exchange.Report(InstanceId(2), Silent(), kNow);
  cr_assert(exchange.Report(InstanceId(3), Alive(), kNow));
  cr_assert(exchange.Suspects(kNow).empty());
}

Test(health_aggregator, further_reports_keep_a_suspect) {
  auto exchange = HealthAggregator();
  exchange.Report(InstanceId(1), Silent(), kNow);
  exchange.Report(InstanceId(2), Silent(), kNow);
  cr_assert_not(exchange.Report(InstanceId(1), Silent(), kNow + kSecond));
  cr_assert_not(exchange.Report(InstanceId(2), Silent(), kNow + kSecond));
  const auto suspect = exchange.Suspects(kNow + kSecond).at(0);
  cr_assert(suspect.at == kNow + kSecond);
}

// Without renewal each instance would have to try the suspect itself.
Test(health_aggregator, one_report_renews_a_suspicion) {
  auto exchange = HealthAggregator();
  exchange.Report(InstanceId(1), Silent(), kNow);
  exchange.Report(InstanceId(2), Silent(), kNow);
  cr_assert(exchange.Report(InstanceId(3), Silent(), kNow + 3 * kSecond));
  const auto suspects = exchange.Suspects(kNow + 3 * kSecond);
  cr_assert_eq(suspects.size(), 1U);
  cr_assert(suspects.at(0).at == kNow + 3 * kSecond);
}

// A single instance that cannot reach an endpoint must not keep it suspect for
// the others.
Test(health_aggregator, one_instance_alone_does_not_renew_a_suspicion_twice) {
  auto exchange = HealthAggregator();
  exchange.Report(InstanceId(1), Silent(), kNow);
  exchange.Report(InstanceId(2), Silent(), kNow);
  exchange.Report(InstanceId(3), Silent(), kNow + 3 * kSecond);
  exchange.Report(InstanceId(3), Silent(), kNow + 6 * kSecond);
  cr_assert(exchange.Suspects(kNow + 6 * kSecond).empty());
}

Test(health_aggregator, a_cleared_suspicion_takes_two_reports_again) {
  auto exchange = HealthAggregator();
  exchange.Report(InstanceId(1), Silent(), kNow);
  exchange.Report(InstanceId(2), Silent(), kNow);
  exchange.Report(InstanceId(3), Alive(), kNow + kSecond);
  exchange.Report(InstanceId(1), Silent(), kNow + 3 * kSecond);
  cr_assert(exchange.Suspects(kNow + 3 * kSecond).empty());
}

Test(health_aggregator, an_old_suspicion_takes_two_reports_again) {
  auto exchange = HealthAggregator();
  exchange.Report(InstanceId(1), Silent(), kNow);
  exchange.Report(InstanceId(2), Silent(), kNow);
  exchange.Report(InstanceId(3), Silent(), kNow + 10 * kSecond);
  cr_assert(exchange.Suspects(kNow + 10 * kSecond).empty());
}

// A failing endpoint still answers some requests, so answers do not clear it.
Test(health_aggregator,
     failing_endpoints_take_two_reporters_and_are_not_cleared) {
  auto exchange = HealthAggregator();
  cr_assert_not(exchange.Report(InstanceId(1), Failing(), kNow));
  cr_assert_not(exchange.Report(InstanceId(1), Failing(), kNow + kSecond));
  cr_assert(exchange.Report(InstanceId(2), Failing(), kNow + kSecond));
  cr_assert_not(exchange.Report(InstanceId(3), Alive(), kNow + kSecond));
  const auto suspects = exchange.Suspects(kNow + kSecond);
  cr_assert_eq(suspects.size(), 1U);
  cr_assert(suspects.at(0).suspicion == Suspicion::kFailing);
}

Test(health_aggregator, silence_and_failures_are_counted_separately) {
  auto exchange = HealthAggregator();
  exchange.Report(InstanceId(1), Failing(), kNow);
  exchange.Report(InstanceId(2), Silent(), kNow);
  cr_assert(exchange.Suspects(kNow).empty());
}

Test(endpoint_observations, names_each_endpoint_once) {
  auto observations = Silent();
  observations.Merge(Silent());
  observations.Merge(Alive());
  observations.Merge(Failing());
  observations.Merge(Failing());
  cr_assert_eq(observations.silent.size(), 1U);
  cr_assert_eq(observations.alive.size(), 1U);
  cr_assert_eq(observations.failing.size(), 1U);
}

}  // namespace
}  // namespace hemlockwick
