#include "Measure/token_world.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

namespace hemlockwick {
namespace {

constexpr std::uint64_t kSeed = 11;

auto PatternNamed(const std::string& name) -> TokenPattern {
  const auto patterns = TokenPatterns();
  const auto found = std::ranges::find(patterns, name, &TokenPattern::name);
  cr_assert(found != patterns.end());
  return *found;
}

// Some of the open work known must not be worse than none.
void ExpectNoWorseThanHash(const std::string& name) {
  const auto pattern = PatternNamed(name);
  const auto own = OwnTokenWorld(pattern, kSeed).Run();
  const auto hash = HashTokenWorld(pattern, kSeed).Run();
  cr_assert_leq(own.missed_share(), hash.missed_share(), "%s: %f, hash %f",
                name.c_str(), own.missed_share(), hash.missed_share());
}

void ExpectDarkEndpointsAvoided(const std::string& name) {
  constexpr double kBound = 0.01;
  const auto own = OwnTokenWorld(PatternNamed(name), kSeed).Run();
  cr_assert_gt(own.flows_while_dark, 0U);
  cr_assert_leq(own.dark_share(), kBound, "%s: %f", name.c_str(),
                own.dark_share());
}

// Answers kauri-roll quiet-1: waits at the crest of a calm day.
Test(token_world, calm_crest) { ExpectNoWorseThanHash("calm crest"); }

// Answers kauri-roll inc-56c3.
Test(token_world, quarter_falls_dark) {
  ExpectNoWorseThanHash("quarter falls dark");
  ExpectDarkEndpointsAvoided("quarter falls dark");
}

// Answers deploy/days/crowds.toml on fvl-hq.
Test(token_world, four_turn_slow) { ExpectNoWorseThanHash("four turn slow"); }

// Answers kauri-roll-grown inc-7972.
Test(token_world, quarter_falls_dark_on_the_grown_deployment) {
  ExpectNoWorseThanHash("grown, quarter falls dark");
  ExpectDarkEndpointsAvoided("grown, quarter falls dark");
}

Test(token_world, a_day_without_faults_loses_nothing) {
  for (const auto* const name : {"calm crest", "grown calm crest"}) {
    const auto own = OwnTokenWorld(PatternNamed(name), kSeed).Run();
    cr_assert_gt(own.requests, 10'000U);
    cr_assert_eq(own.failed, 0U);
  }
}

Test(token_world, the_same_seed_gives_the_same_outcome) {
  const auto pattern = PatternNamed("quarter falls dark");
  const auto first = OwnTokenWorld(pattern, kSeed).Run();
  const auto second = OwnTokenWorld(pattern, kSeed).Run();
  cr_assert_eq(first.requests, second.requests);
  cr_assert_eq(first.late, second.late);
  cr_assert_eq(first.failed, second.failed);
}

// A placement that knows nothing must be told from one that does.
Test(token_world, a_hash_alone_keeps_dark_endpoints) {
  auto hash = HashTokenWorld(PatternNamed("quarter falls dark"), kSeed);
  cr_assert_gt(hash.Run().dark_share(), 0.05);
}

}  // namespace
}  // namespace hemlockwick
