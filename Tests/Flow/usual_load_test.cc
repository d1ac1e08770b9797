#include "Flow/usual_load.h"

#include <criterion/criterion.h>

#include <cstdint>

#include "Flow/by_service.h"
#include "Flow/usual_reply_times.h"

namespace hemlockwick {
namespace {

constexpr TimePoint kNow{std::chrono::hours(500'000)};
constexpr SocketAddress kFast{Ipv4Address(0xC6120001), Port(443)};
constexpr SocketAddress kSlow{Ipv4Address(0xC6120002), Port(443)};

Test(usual_load, follows_a_steady_load_and_not_a_short_one) {
  auto usual = UsualLoad(kNow);
  auto now = kNow;
  const auto update = [&](double load, int steps) {
    for (auto i = 0; i < steps; ++i) {
      now += std::chrono::milliseconds(100);
      usual.Update(load, now);
    }
  };
  update(1.0, 600);
  cr_assert_float_eq(usual.load(), 1.0, 0.01);
  update(5.0, 10);
  cr_assert_lt(usual.load(), 1.5);
}

Test(usual_load, does_not_depend_on_how_often_it_is_updated) {
  auto often = UsualLoad(kNow);
  for (auto i = 1; i <= 100; ++i) {
    often.Update(1.0, kNow + i * std::chrono::milliseconds(50));
  }
  auto once = UsualLoad(kNow);
  once.Update(1.0, kNow + std::chrono::seconds(5));
  cr_assert_float_eq(often.load(), once.load(), 1e-9);
}

// A process that runs for months sees many services come and go.
Test(by_service, holds_a_bounded_number_of_services) {
  using Counts = ByService<std::uint64_t, int>;
  auto counts = Counts();
  for (auto service = std::uint64_t{0}; service < Counts::kMaxServices;
       ++service) {
    counts.FindOrAdd(service) = 1;
  }
  cr_assert_eq(counts.FindOrAdd(7), 1);
  cr_assert_eq(counts.FindOrAdd(Counts::kMaxServices, 2), 2);
  cr_assert_eq(counts.size(), 1U);
}

// Two kinds of requests with other times are compared each with its own.
Test(usual_reply_times, are_kept_by_service_address) {
  auto usual = UsualReplyTimes();
  for (auto i = 0; i < 300; ++i) {
    usual.Add(kFast, std::chrono::milliseconds(10));
    usual.Add(kSlow, std::chrono::milliseconds(100));
  }
  const auto fast = usual.Add(kFast, std::chrono::milliseconds(20));
  const auto slow = usual.Add(kSlow, std::chrono::milliseconds(100));
  cr_assert_float_eq(fast.ratio, 2.0, 0.02);
  cr_assert_float_eq(slow.ratio, 1.0, 0.02);
  cr_assert(slow.usual_time == std::chrono::milliseconds(100));
}

}  // namespace
}  // namespace hemlockwick
