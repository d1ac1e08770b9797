#include "Measure/token_pattern.h"

#include <algorithm>
#include <utility>

namespace hemlockwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Crest of the first deployments: 1.7 times their mean rates.
auto SmallPattern() -> TokenPattern {
  auto pattern = TokenPattern();
  pattern.data_centres = EvenDataCentres(3, 7, 14);
  pattern.slots = 3;
  pattern.kinds = {{437, milliseconds(34), milliseconds(200),
                    milliseconds(1200), 7, milliseconds(700)},
                   {125,
                    milliseconds(44),
                    milliseconds(250),
                    milliseconds(1500),
                    1,
                    {},
                    false}};
  pattern.length = seconds(20);
  return pattern;
}

// Crest of the grown deployments.
auto GrownPattern() -> TokenPattern {
  auto pattern = TokenPattern();
  pattern.data_centres = EvenDataCentres(3, 77, 120);
  pattern.slots = 2;
  pattern.kinds = {{1850, milliseconds(34), milliseconds(500),
                    milliseconds(2500), 7, milliseconds(700)},
                   {530,
                    milliseconds(44),
                    milliseconds(500),
                    milliseconds(2500),
                    1,
                    {},
                    false}};
  pattern.length = seconds(12);
  return pattern;
}

// Crest of the large deployment.
auto LargePattern() -> TokenPattern {
  auto pattern = GrownPattern();
  pattern.data_centres = EvenDataCentres(5, 195, 293);
  pattern.kinds[0].per_second = 1460;
  pattern.kinds[1].per_second = 417;
  pattern.length = seconds(6);
  return pattern;
}

// Crest of ricamo-lb: 1.55 times its mean rates. Data centres differ in
// instances, endpoints and callers; the first has the most callers for its
// endpoints.
auto UnevenPattern() -> TokenPattern {
  auto pattern = TokenPattern();
  pattern.data_centres = {{2, 3, 97}, {3, 4, 102}, {3, 4, 75}, {1, 3, 78}};
  pattern.slots = 2;
  pattern.kinds = {{.per_second = 398,
                    .mean_work = milliseconds(26),
                    .aim = milliseconds(150),
                    .deadline = milliseconds(1500),
                    .requests_per_flow = 40,
                    .pause = milliseconds(700),
                    .one_packet_share = 0.7},
                   {.per_second = 114,
                    .mean_work = milliseconds(33),
                    .aim = milliseconds(200),
                    .deadline = milliseconds(2000),
                    .idempotent = false}};
  pattern.length = seconds(24);
  pattern.has_standing_flows = true;
  return pattern;
}

// Crest of ricamo-lb-grown.
auto UnevenGrownPattern() -> TokenPattern {
  auto pattern = UnevenPattern();
  pattern.data_centres = {
      {20, 26, 97}, {30, 34, 102}, {30, 34, 75}, {9, 26, 78}};
  pattern.kinds[0].per_second = 1790;
  pattern.kinds[0].aim = milliseconds(300);
  pattern.kinds[0].deadline = milliseconds(2000);
  pattern.kinds[1].per_second = 512;
  pattern.kinds[1].aim = milliseconds(300);
  pattern.kinds[1].deadline = milliseconds(2500);
  pattern.length = seconds(12);
  return pattern;
}

// The pattern right after all instances have lost power: the callers of more
// than a second come back in half of one.
auto AfterOutage(TokenPattern pattern, const char* name) -> TokenPattern {
  pattern.name = name;
  pattern.crowd_factor = 4;
  pattern.crowd_time = milliseconds(500);
  pattern.length = seconds(4);
  return pattern;
}

auto Named(TokenPattern pattern, const char* name) -> TokenPattern {
  pattern.name = name;
  return pattern;
}

// The pattern with a fault of `endpoints` endpoints from `at` on.
auto WithFault(TokenPattern pattern, const char* name, PatternFault fault,
               std::size_t endpoints, Duration at) -> TokenPattern {
  pattern.name = name;
  pattern.fault = fault;
  pattern.faulty_endpoints = endpoints;
  pattern.fault_at = at;
  return pattern;
}

// The pattern with a cut of the first data centre from `at` on.
auto WithCut(TokenPattern pattern, const char* name, Duration at, Duration time)
    -> TokenPattern {
  pattern = WithFault(std::move(pattern), name, PatternFault::kCut, 0, at);
  pattern.fault_time = time;
  return pattern;
}

// The pattern with endpoints that are replaced one by one from `at` on.
auto WithRelease(TokenPattern pattern, const char* name, std::size_t endpoints,
                 Duration at, Duration gap) -> TokenPattern {
  pattern = WithFault(std::move(pattern), name, PatternFault::kRelease,
                      endpoints, at);
  pattern.fault_time = gap;
  return pattern;
}

// The mean speed of all endpoints, whenever one changes.
auto MeanSpeeds(const TokenPattern& pattern) -> std::vector<PatternSpeed> {
  auto count = std::size_t{0};
  for (const auto& data_centre : pattern.data_centres) {
    count += data_centre.endpoints;
  }
  auto means = std::vector<PatternSpeed>();
  for (const auto& change : pattern.speeds) {
    auto sum = 0.0;
    for (std::size_t i = 0; i < count; ++i) {
      sum += SpeedAt(pattern, i, change.at);
    }
    means.push_back(
        {.at = change.at, .speed = sum / static_cast<double>(count)});
  }
  return means;
}

// 100 instances and 120 endpoints of two slots, of which a third or so is busy.
auto CapacityPattern(const char* name) -> TokenPattern {
  auto pattern = GrownPattern();
  pattern.name = name;
  pattern.data_centres = EvenDataCentres(3, 100, 120);
  for (auto& kind : pattern.kinds) {
    kind.aim = milliseconds(200);
  }
  pattern.length = seconds(30);
  pattern.counts_from = seconds(6);
  return pattern;
}

// Endpoints in three groups of equal size with speeds of 0.6, 1 and 1.6.
auto ThreeSpeeds() -> std::vector<PatternSpeed> {
  return {{.speed = 0.6, .rounds = 3, .first = 0},
          {.speed = 1.6, .rounds = 3, .first = 1}};
}

}  // namespace

auto SpeedAt(const TokenPattern& pattern, std::size_t position, Duration time)
    -> double {
  auto speed = 1.0;
  for (const auto& change : pattern.speeds) {
    if (change.at <= time &&
        change.Covers(position, pattern.data_centres.size())) {
      speed = change.speed;
    }
  }
  return speed;
}

auto CapacityPatterns() -> std::vector<TokenPattern> {
  auto three = CapacityPattern("three speeds");
  three.speeds = ThreeSpeeds();
  // The groups of 0.6 and 1.6 change places, and shares are counted from 3 s
  // after that on.
  auto change = CapacityPattern("three speeds, exchanged");
  change.speeds = ThreeSpeeds();
  change.speeds.push_back(
      {.at = seconds(10), .speed = 1.6, .rounds = 3, .first = 0});
  change.speeds.push_back(
      {.at = seconds(10), .speed = 0.6, .rounds = 3, .first = 1});
  change.counts_from = seconds(13);
  auto short_flows = CapacityPattern("three speeds, one request a flow");
  short_flows.speeds = ThreeSpeeds();
  short_flows.kinds[0].requests_per_flow = 1;
  short_flows.length = seconds(150);
  auto knee = CapacityPattern("slow from half the slots on");
  knee.slots = 4;
  knee.data_centres = EvenDataCentres(3, 100, 90);
  knee.knee = 0.5;
  auto slow_for_a_while = CapacityPattern("slow for 5 s");
  slow_for_a_while.speeds = {{.at = seconds(10), .speed = 0.3, .rounds = 4},
                             {.at = seconds(15), .speed = 1, .rounds = 4}};
  slow_for_a_while.counts_from = seconds(18);
  auto cold = WithRelease(CapacityPattern("cold ones"), "cold ones", 12,
                          seconds(8), milliseconds(500));
  cold.cold_time = seconds(5);
  auto silent = WithFault(CapacityPattern("silent ones"), "silent ones",
                          PatternFault::kDark, 4, seconds(8));
  silent.speeds = ThreeSpeeds();
  // Answers a trial day of rezeptfluss-wien-grown: threefold demand for 9 s
  // while 35% of the endpoints are three times slower.
  auto surge = CapacityPattern("threefold demand, 35% slow");
  for (auto& kind : surge.kinds) {
    kind.per_second *= 0.75;
    kind.aim = milliseconds(500);
  }
  surge.speeds = {
      {.at = seconds(8), .speed = 1.0 / 3, .rounds = 20, .count = 7},
      {.at = seconds(17), .speed = 1, .rounds = 20, .count = 7}};
  surge.crowd_factor = 3;
  surge.crowd_at = seconds(8);
  surge.crowd_time = seconds(9);
  const auto equal = CapacityPattern("equal speeds");
  auto light = short_flows;
  light.name = "three speeds, one request a flow, light load";
  for (auto& kind : light.kinds) {
    kind.per_second *= 0.6;
  }
  light.length = seconds(200);
  return {equal, three,  change, short_flows, light, knee, slow_for_a_while,
          cold,  silent, surge};
}

auto EvenDataCentres(std::size_t count, std::size_t instances,
                     std::size_t endpoints) -> std::vector<PatternDataCentre> {
  const auto share = [count](std::size_t total, std::size_t position) {
    return total / count + (position < total % count ? 1 : 0);
  };
  auto data_centres = std::vector<PatternDataCentre>();
  for (std::size_t i = 0; i < count; ++i) {
    data_centres.push_back({share(instances, i), share(endpoints, i),
                            static_cast<double>(share(instances, i))});
  }
  return data_centres;
}

auto SpreadOver(const std::vector<PatternDataCentre>& data_centres,
                std::size_t PatternDataCentre::*number)
    -> std::vector<DataCentreId> {
  const auto most = std::ranges::max(data_centres, {}, number).*number;
  auto order = std::vector<DataCentreId>();
  for (std::size_t round = 0; round < most; ++round) {
    for (std::size_t i = 0; i < data_centres.size(); ++i) {
      if (round < data_centres[i].*number) {
        order.push_back(DataCentreAt(i));
      }
    }
  }
  return order;
}

auto WithCentralQueue(TokenPattern pattern) -> TokenPattern {
  auto endpoints = std::size_t{0};
  for (const auto& data_centre : pattern.data_centres) {
    endpoints += data_centre.endpoints;
  }
  if (MakesFail(pattern.fault) || pattern.fault == PatternFault::kSlow) {
    endpoints -= pattern.faulty_endpoints;
  }
  pattern.slots *= static_cast<std::uint32_t>(endpoints);
  pattern.speeds = MeanSpeeds(pattern);
  pattern.data_centres = EvenDataCentres(1, 1, 1);
  pattern.fault = PatternFault::kNone;
  return pattern;
}

auto TokenPatterns() -> std::vector<TokenPattern> {
  auto calm = SmallPattern();
  calm.name = "calm crest";
  auto grown = GrownPattern();
  grown.name = "grown calm crest";
  const auto uneven = UnevenPattern();
  return {
      // Answers kauri-roll quiet-1.
      calm,
      // Answers kauri-roll inc-56c3.
      WithFault(calm, "quarter falls dark", PatternFault::kDark, 4, seconds(8)),
      // Answers deploy/days/crowds.toml on fvl-hq.
      WithFault(calm, "four turn slow", PatternFault::kSlow, 4, seconds(8)),
      // Answers kauri-roll-grown quiet-1.
      grown,
      // Answers kauri-roll-grown inc-7972.
      WithFault(grown, "grown, quarter falls dark", PatternFault::kDark, 30,
                seconds(5)),
      // Answers deploy/days/health-lies-in-turn.toml on fvl-hq-grown.
      WithFault(grown, "grown, quarter leaves requests unanswered",
                PatternFault::kMute, 30, seconds(4)),
      // Answers the same day, its srv_grey with resets.
      WithFault(grown, "grown, quarter resets flows", PatternFault::kResetting,
                30, seconds(4)),
      // Answers the closing loss of power on kauri-roll, kauri-roll-grown and
      // kauri-roll-large (inc-7f8e).
      AfterOutage(calm, "crowd after a start"),
      AfterOutage(grown, "grown, crowd after a start"),
      AfterOutage(LargePattern(), "large, crowd after a start"),
      // Answer ricamo-lb scale-2: its crest, from 33.5 s on with a data centre
      // cut off, from 12.3 s on with a release, and after 41.1 s.
      Named(uneven, "uneven crest"),
      WithCut(uneven, "uneven, data centre cut off", seconds(8), seconds(6)),
      WithRelease(uneven, "uneven, release", 6, seconds(6), seconds(1)),
      AfterOutage(uneven, "uneven, crowd after a start"),
      // Answer ricamo-lb-grown trouble-1 and scale-1.
      Named(UnevenGrownPattern(), "uneven grown crest"),
      WithCut(UnevenGrownPattern(), "uneven grown, data centre cut off",
              seconds(4), seconds(4))};
}

}  // namespace hemlockwick
