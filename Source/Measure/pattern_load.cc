#include "Measure/pattern_load.h"

#include <chrono>
#include <cmath>

#include "Core/hash.h"

namespace hemlockwick {

namespace {

constexpr std::uint32_t kCallerNetwork = 0x64400000;
constexpr auto kPortBits = 16;

// Spread of the usual work about its median (the standard deviation of its
// logarithm), share of long requests, and how much longer they are.
constexpr double kWorkSpread = 0.5;
constexpr double kLongShare = 0.03;
constexpr double kLongFactor = 7;

auto SecondsOf(Duration time) -> double {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

auto CallerOf(std::uint64_t flow) -> SocketAddress {
  return {Ipv4Address(kCallerNetwork +
                      static_cast<std::uint32_t>(flow >> kPortBits)),
          Port(static_cast<std::uint16_t>(flow))};
}

auto FlowOf(const SocketAddress& caller) -> std::uint64_t {
  return (static_cast<std::uint64_t>(caller.ip.value() - kCallerNetwork)
          << kPortBits) |
         caller.port.value();
}

auto CallerDataCentre(const TokenPattern& pattern, std::uint64_t flow)
    -> std::size_t {
  constexpr std::uint64_t kSeed = 0x63616C6C;
  constexpr std::uint64_t kSteps = 1 << 20;
  auto total = 0.0;
  for (const auto& data_centre : pattern.data_centres) {
    total += data_centre.callers;
  }
  auto left = total * static_cast<double>(MixWords(flow, kSeed) % kSteps) /
              static_cast<double>(kSteps);
  for (std::size_t i = 0; i < pattern.data_centres.size(); ++i) {
    left -= pattern.data_centres[i].callers;
    if (left < 0) {
      return i;
    }
  }
  return pattern.data_centres.size() - 1;
}

auto DrawWork(const PatternKind& kind, Random& random) -> PatternWork {
  constexpr double kTurn = 6.283185307179586;
  const auto radius = std::sqrt(-2 * std::log(1 - random.Uniform01()));
  const auto normal = radius * std::cos(kTurn * random.Uniform01());
  const auto usual = std::exp(kWorkSpread * (normal - kWorkSpread / 2));
  auto work = PatternWork();
  work.is_long = random.Chance(kLongShare);
  const auto factor = work.is_long ? kLongFactor * usual : usual;
  work.work = std::chrono::duration_cast<Duration>(kind.mean_work * factor);
  return work;
}

auto DrawArrival(const TokenPattern& pattern, const PatternKind& kind,
                 Duration time, Random& random) -> Duration {
  const auto is_crowd =
      time >= pattern.crowd_at && time < pattern.crowd_at + pattern.crowd_time;
  const auto flows_per_second = kind.per_second / kind.requests_per_flow *
                                (is_crowd ? pattern.crowd_factor : 1);
  const auto mean = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / flows_per_second));
  return random.Exponential(mean);
}

auto StandingFlows(const TokenPattern& pattern, const PatternKind& kind)
    -> std::size_t {
  if (!pattern.has_standing_flows || kind.requests_per_flow == 1) {
    return 0;
  }
  return static_cast<std::size_t>(kind.per_second * SecondsOf(kind.pause));
}

auto CauseOfDelay(const PatternWork& work, Duration trips, Duration aim,
                  bool was_disturbed) -> MissCause {
  if (work.work + trips > aim) {
    return MissCause::kLongWork;
  }
  if (was_disturbed) {
    return MissCause::kUnreachable;
  }
  if (work.work + work.waited + trips <= aim) {
    return MissCause::kOther;
  }
  return work.idle_elsewhere ? MissCause::kWaitedNeedlessly
                             : MissCause::kWaited;
}

}  // namespace hemlockwick
