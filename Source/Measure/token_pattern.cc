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

}  // namespace

auto TokenPatterns() -> std::vector<TokenPattern> {
  // Answers kauri-roll quiet-1.
  auto calm = SmallPattern();
  calm.name = "calm crest";

  // Answers kauri-roll inc-56c3.
  auto dark = SmallPattern();
  dark.name = "quarter falls dark";
  dark.fault = PatternFault::kDark;
  dark.faulty_endpoints = 4;
  dark.fault_at = seconds(8);

  // Answers deploy/days/crowds.toml on fvl-hq.
  auto slow = SmallPattern();
  slow.name = "four turn slow";
  slow.fault = PatternFault::kSlow;
  slow.faulty_endpoints = 4;
  slow.fault_at = seconds(8);

  // Answers kauri-roll-grown quiet-1.
  auto grown = GrownPattern();
  grown.name = "grown calm crest";

  // Answers kauri-roll-grown inc-7972.
  auto grown_dark = GrownPattern();
  grown_dark.name = "grown, quarter falls dark";
  grown_dark.fault = PatternFault::kDark;
  grown_dark.faulty_endpoints = 30;
  grown_dark.fault_at = seconds(5);

  // Answers deploy/days/health-lies-in-turn.toml on fvl-hq-grown.
  auto grown_grey = GrownPattern();
  grown_grey.name = "grown, quarter leaves requests unanswered";
  grown_grey.fault = PatternFault::kMute;
  grown_grey.faulty_endpoints = 30;
  grown_grey.fault_at = seconds(4);

  // Answers the same day, its srv_grey with resets.
  auto grown_resetting = grown_grey;
  grown_resetting.name = "grown, quarter resets flows";
  grown_resetting.fault = PatternFault::kResetting;
  return {calm, dark, slow, grown, grown_dark, grown_grey, grown_resetting};
}

}  // namespace hemlockwick
