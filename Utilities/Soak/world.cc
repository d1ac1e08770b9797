#include "Soak/world.h"

#include <boost/asio/steady_timer.hpp>
#include <iomanip>
#include <iostream>
#include <memory>
#include <utility>

namespace hemlockwick::soak {

World::World(std::uint64_t seed, std::uint8_t network)
    : start_(clock_.Now()), network_(network), random_(seed) {}

void World::After(Duration time, std::function<void()> action) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(context_);
  timer->expires_after(time);
  timer->async_wait([timer, action = std::move(action)](
                        const boost::system::error_code& error) {
    if (!error) {
      action();
    }
  });
}

auto World::Address(std::uint8_t group, std::size_t number) const
    -> Ipv4Address {
  constexpr auto kLoopback = std::uint32_t{127} << 24;
  return Ipv4Address(kLoopback | (std::uint32_t{network_} << 16) |
                     (std::uint32_t{group} << 8) |
                     static_cast<std::uint32_t>(number + 1));
}

void World::Break(const std::string& promise, const std::string& detail) {
  Say("BROKEN " + promise + ": " + detail);
  broken_.push_back(promise + ": " + detail);
}

void World::Say(const std::string& text) const {
  const auto time = std::chrono::duration<double>(Now() - start_).count();
  std::cout << std::fixed << std::setprecision(3) << std::setw(8) << time << " "
            << text << std::endl;
}

}  // namespace hemlockwick::soak
