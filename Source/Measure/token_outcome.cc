#include "Measure/token_outcome.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace hemlockwick {

namespace {

auto Quotient(std::size_t part, std::size_t whole) -> double {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

auto ToString(MissCause cause) -> std::string_view {
  switch (cause) {
    case MissCause::kLongWork:
      return "long work";
    case MissCause::kUnreachable:
      return "endpoint or data centre out of reach";
    case MissCause::kWaitedNeedlessly:
      return "waited beside an idle slot";
    case MissCause::kWaited:
      return "waited, no slot idle";
    case MissCause::kOther:
      break;
  }
  return "other";
}

auto TokenOutcome::missed_share() const -> double {
  return Quotient(late + failed, requests);
}
auto TokenOutcome::failed_share() const -> double {
  return Quotient(failed, requests);
}
auto TokenOutcome::counted_wait_share() const -> double {
  return Quotient(counted_waits, counted);
}
auto TokenOutcome::faulty_share() const -> double {
  return Quotient(flows_to_faulty, flows_since_found);
}
auto TokenOutcome::ShareOf(MissCause cause) const -> double {
  return Quotient(missed_by.at(static_cast<std::size_t>(cause)), requests);
}

auto TokenOutcome::ShortWait(double share) const -> Duration {
  if (short_waits.empty()) {
    return Duration(0);
  }
  auto sorted = short_waits;
  const auto last = static_cast<double>(sorted.size() - 1);
  const auto place =
      sorted.begin() + static_cast<std::ptrdiff_t>(std::lround(share * last));
  std::ranges::nth_element(sorted, place);
  return *place;
}

auto TokenOutcome::share_error() const -> double {
  struct Group {
    double openings = 0;
    double speed = 0;
  };
  auto groups = std::map<double, Group>();
  auto all = Group();
  for (std::size_t i = 0; i < openings.size(); ++i) {
    const auto own = static_cast<double>(openings[i]);
    for (auto* const group : {&groups[speeds[i]], &all}) {
      group->openings += own;
      group->speed += speeds[i];
    }
  }
  auto largest = 0.0;
  for (const auto& [speed, group] : groups) {
    const auto ideal = all.openings * group.speed / all.speed;
    largest = std::max(largest, std::abs(group.openings / ideal - 1));
  }
  return largest;
}

auto TokenOutcome::weighted_imbalance() const -> double {
  auto sum = 0.0;
  auto capacity = 0.0;
  auto busiest = 0.0;
  for (std::size_t i = 0; i < openings.size(); ++i) {
    const auto own = static_cast<double>(openings[i]);
    sum += own;
    capacity += speeds[i];
    busiest = std::max(busiest, own / speeds[i]);
  }
  return sum == 0 ? 0 : busiest * capacity / sum;
}

auto TokenOutcome::imbalance() const -> double {
  const auto sum = std::accumulate(runs.begin(), runs.end(), std::size_t{0});
  return sum == 0 ? 0 : Quotient(std::ranges::max(runs) * runs.size(), sum);
}

auto NoWorseBound(const TokenOutcome& own, const TokenOutcome& rival)
    -> double {
  constexpr double kDeviations = 3;
  const auto variance =
      own.missed_share() / static_cast<double>(own.requests) +
      rival.missed_share() / static_cast<double>(rival.requests);
  return rival.missed_share() + kDeviations * std::sqrt(variance);
}

}  // namespace hemlockwick
