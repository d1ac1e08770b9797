// Runs the parts that several threads share: the inbox, the task pool, and
// traffic threads that forward while the control thread publishes. Exits 1
// when something was lost, reordered or sent to a wrong place.
#include <sys/socket.h>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "Flow/flow_router.h"
#include "Runtime/inbox.h"
#include "Runtime/socket.h"
#include "Runtime/system_clock.h"
#include "Runtime/task_pool.h"
#include "Runtime/traffic_threads.h"
#include "StandIn/await.h"
#include "StandIn/flow_packet.h"
#include "StandIn/local_config.h"
#include "StandIn/loopback.h"

namespace hemlockwick {

namespace {

constexpr auto kPushers = 3;
constexpr auto kPushes = 20'000;
constexpr Duration kAwaitBound = std::chrono::minutes(2);

// Each pusher's inputs arrive once and in order.
auto CheckInbox() -> bool {
  auto inbox = Inbox<std::pair<int, int>>();
  auto pushers = std::vector<std::jthread>();
  for (auto pusher = 0; pusher < kPushers; ++pusher) {
    pushers.emplace_back([&inbox, pusher] {
      for (auto number = 0; number < kPushes; ++number) {
        inbox.Push({pusher, number});
      }
    });
  }
  auto next = std::vector<int>(kPushers, 0);
  for (auto left = kPushers * kPushes; left > 0;) {
    for (const auto& [pusher, number] : inbox.TakeAll(kAwaitBound)) {
      if (number != next[static_cast<std::size_t>(pusher)]++) {
        return false;
      }
      --left;
    }
  }
  return true;
}

// Every accepted task runs once; the bound on waiting tasks holds.
auto CheckTaskPool() -> bool {
  constexpr auto kTasks = 20'000;
  constexpr auto kMaxWaiting = std::size_t{64};
  auto ran = std::atomic<int>(0);
  auto accepted = 0;
  auto pool = TaskPool(3, kMaxWaiting);
  while (accepted < kTasks) {
    accepted += pool.TrySubmit([&ran] { ++ran; }) ? 1 : 0;
  }
  return Await([&ran] { return ran == kTasks; }, kAwaitBound);
}

auto NewMembers(TimePoint now) -> MemberView {
  auto self = Member();
  self.name = "stress";
  self.id = IdFromName<InstanceId>(self.name);
  self.data_centre = IdFromName<DataCentreId>(LocalDataCentres().front());
  auto view = MemberView();
  view.self = self.id;
  view.data_centre = self.data_centre;
  view.members.push_back(self);
  view.refreshed = now;
  return view;
}

// Publishes versions while traffic threads forward; every packet has to reach
// the endpoint or be counted as dropped.
auto CheckTraffic() -> Result<bool> {
  constexpr auto kPackets = std::uint32_t{6'400};
  const auto clock = SystemClock();
  auto events = EventLog("stress");
  auto router =
      FlowRouter({}, IdFromName<InstanceId>("stress"), events, clock.Now());
  BOOST_LEAF_AUTO(sink, BindUdp(AnyLoopbackPort(), false));
  BOOST_LEAF_AUTO(probe, BindUdp(AnyLoopbackPort(), false));
  const auto address = LocalAddress(probe);
  probe = FileDescriptor();
  BOOST_LEAF_AUTO(traffic, TrafficThreads::Start(address, 2, router, clock));

  auto objects = LocalObjects();
  objects.flow_endpoints = {LocalAddress(sink)};
  auto config = std::shared_ptr<const FleetConfig>();
  const auto source =
      FileDescriptor(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  const auto remote = ToSockaddr(address);
  for (auto number = std::uint32_t{0}; number < kPackets; ++number) {
    if (number % 100 == 0) {
      const auto now = clock.Now();
      config = NextLocalConfig(objects, config.get(), now);
      router.Update(config, NewMembers(now), now);
      static_cast<void>(router.OnTick(now));
    }
    const auto datagram =
        EncodeProbe({number, number % 2}, kFlowServiceAddress);
    sendto(source.get(), datagram.data(), datagram.size(), 0,
           reinterpret_cast<const sockaddr*>(&remote), sizeof(remote));
    if (number % 64 == 0) {
      // Keeps the socket's buffer from running over.
      const auto sent = number + std::uint64_t{1};
      if (!Await([&] { return traffic->totals().received >= sent; },
                 kAwaitBound)) {
        return false;
      }
    }
  }
  const auto whole = Await(
      [&] {
        const auto totals = traffic->totals();
        auto ended = totals.forwarded + totals.relayed;
        for (const auto& [reason, count] : totals.dropped) {
          ended += count;
        }
        return ended == kPackets;
      },
      kAwaitBound);
  return whole && traffic->totals().forwarded > 0 &&
         traffic->totals().relayed == 0;
}

}  // namespace

}  // namespace hemlockwick

auto main() -> int {
  using hemlockwick::Error;
  const auto traffic =
      hemlockwick::TryOr([] { return hemlockwick::CheckTraffic(); },
                         [](const Error& error) {
                           std::cerr << error.message << "\n";
                           return false;
                         });
  const auto checks = std::vector<std::pair<std::string, bool>>{
      {"inbox", hemlockwick::CheckInbox()},
      {"task pool", hemlockwick::CheckTaskPool()},
      {"traffic", traffic}};
  auto status = EXIT_SUCCESS;
  for (const auto& [name, passed] : checks) {
    std::cout << name << ": " << (passed ? "passed" : "FAILED") << "\n";
    status = passed ? status : EXIT_FAILURE;
  }
  return status;
}
