#ifndef HEMLOCKWICK_CORE_RANDOM_H_
#define HEMLOCKWICK_CORE_RANDOM_H_

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstdint>

#include "Core/time.h"

namespace hemlockwick {

// Seeded random numbers. Uses Boost.Random because its distributions give the
// same numbers on every platform.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // Returns an integer in [0, bound). `bound` must be positive.
  auto Below(std::uint64_t bound) -> std::uint64_t {
    return boost::random::uniform_int_distribution<std::uint64_t>(
        0, bound - 1)(engine_);
  }

  // Returns a duration in [0, bound). `bound` must be positive.
  auto DurationBelow(Duration bound) -> Duration {
    return Duration(static_cast<Duration::rep>(
        Below(static_cast<std::uint64_t>(bound.count()))));
  }

  // Returns a duration between 0.5 and 1.5 times `mean`.
  auto Jitter(Duration mean) -> Duration {
    return mean / 2 + DurationBelow(mean);
  }

  // Returns a number in [0, 1).
  auto Uniform01() -> double {
    return boost::random::uniform_01<double>()(engine_);
  }

  // Returns true with the given probability.
  auto Chance(double probability) -> bool { return Uniform01() < probability; }

  // Returns an exponentially distributed duration with the given mean.
  auto Exponential(Duration mean) -> Duration {
    const auto rate = 1.0 / static_cast<double>(mean.count());
    const auto drawn =
        boost::random::exponential_distribution<double>(rate)(engine_);
    return Duration(static_cast<Duration::rep>(drawn));
  }

  auto engine() -> boost::random::mt19937_64& { return engine_; }

 private:
  boost::random::mt19937_64 engine_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CORE_RANDOM_H_
