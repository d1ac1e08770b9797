#include "Measure/token_pattern.h"

namespace hemlockwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Crest of the first deployments: 1.7 times their mean rates.
auto SmallPattern() -> TokenPattern {
  auto pattern = TokenPattern();
  pattern.instances = 7;
  pattern.endpoints = 14;
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
  pattern.instances = 77;
  pattern.endpoints = 120;
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
  pattern.instances = 195;
  pattern.data_centres = 5;
  pattern.endpoints = 293;
  pattern.kinds[0].per_second = 1460;
  pattern.kinds[1].per_second = 417;
  pattern.length = seconds(6);
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

// The pattern with a fault of `endpoints` endpoints from `at` on.
auto WithFault(TokenPattern pattern, const char* name, PatternFault fault,
               std::size_t endpoints, Duration at) -> TokenPattern {
  pattern.name = name;
  pattern.fault = fault;
  pattern.faulty_endpoints = endpoints;
  pattern.fault_at = at;
  return pattern;
}

}  // namespace

auto TokenPatterns() -> std::vector<TokenPattern> {
  auto calm = SmallPattern();
  calm.name = "calm crest";
  auto grown = GrownPattern();
  grown.name = "grown calm crest";
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
      AfterOutage(LargePattern(), "large, crowd after a start")};
}

}  // namespace hemlockwick
