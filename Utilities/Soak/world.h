#ifndef HEMLOCKWICK_SOAK_WORLD_H_
#define HEMLOCKWICK_SOAK_WORLD_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Core/net_address.h"
#include "Core/random.h"
#include "Core/time.h"
#include "Runtime/system_clock.h"
#include "Soak/wire.h"

namespace hemlockwick::soak {

// Time without a disturbance after which promises with a time bound hold.
inline constexpr Duration kCalmTime = std::chrono::seconds(4);
// A draining endpoint gets no new flows, and a configuration is in force, this
// long after publication.
inline constexpr Duration kInForceTime = std::chrono::seconds(3);

// Ports that all instances use, on an address each.
inline constexpr Port kPacketPort{8172};
inline constexpr Port kReadyPort{8167};
inline constexpr Port kRelayPort{8166};
inline constexpr Port kMetricsPort{9464};

// Something that has been calm since a moment.
class Calm {
 public:
  void Disturb(TimePoint now) { since_ = now; }
  // Keeps it disturbed until `end`.
  void DisturbUntil(TimePoint end) { since_ = std::max(since_, end); }
  [[nodiscard]] auto IsCalm(TimePoint now) const -> bool {
    return now - since_ >= kCalmTime;
  }

 private:
  TimePoint since_;
};

// What all parts of a soak run share: time, chance, addresses and what went
// wrong. Everything runs on the thread of the I/O context.
class World {
 public:
  World(std::uint64_t seed, std::uint8_t network);

  auto context() -> boost::asio::io_context& { return context_; }
  auto random() -> Random& { return random_; }
  [[nodiscard]] auto Now() const -> TimePoint { return clock_.Now(); }

  // Calls `action` once after `time`.
  void After(Duration time, std::function<void()> action);

  // 127.NETWORK.GROUP.NUMBER
  [[nodiscard]] auto Address(std::uint8_t group, std::size_t number) const
      -> Ipv4Address;

  // Notes a broken promise.
  void Break(const std::string& promise, const std::string& detail);
  [[nodiscard]] auto broken() const -> const std::vector<std::string>& {
    return broken_;
  }

  void Count(const std::string& name) { ++counts_[name]; }
  [[nodiscard]] auto counts() const
      -> const std::map<std::string, std::uint64_t>& {
    return counts_;
  }

  // Says what happens, with the time of the run.
  void Say(const std::string& text) const;

 private:
  const SystemClock clock_;
  const TimePoint start_;
  const std::uint8_t network_;
  boost::asio::io_context context_{1};
  Random random_;
  std::vector<std::string> broken_;
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace hemlockwick::soak

#endif  // HEMLOCKWICK_SOAK_WORLD_H_
