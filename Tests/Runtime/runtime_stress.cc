// Stress test of the parts that several threads share: the inbox, the thread
// pool, and traffic threads that forward packets while the control thread
// publishes versions. Exits with 1 if an input, task or packet is lost, an
// input is reordered or a packet is sent to a wrong address.
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
#include "Runtime/thread_pool.h"
#include "Runtime/traffic_threads.h"
#include "StandIn/await.h"
#include "StandIn/flow_packet.h"
#include "StandIn/local_config.h"
#include "StandIn/loopback.h"

namespace hemlockwick {

namespace {

constexpr auto kProducers = 3;
constexpr auto kInputsPerProducer = 20'000;
constexpr Duration kAwaitBound = std::chrono::minutes(2);

// The inputs of each producer must arrive exactly once and in order.
auto CheckInbox() -> bool {
  auto inbox = Inbox<std::pair<int, int>>();
  auto producers = std::vector<std::jthread>();
  for (auto producer = 0; producer < kProducers; ++producer) {
    producers.emplace_back([&inbox, producer] {
      for (auto number = 0; number < kInputsPerProducer; ++number) {
        inbox.Push({producer, number});
      }
    });
  }
  auto next = std::vector<int>(kProducers, 0);
  for (auto left = kProducers * kInputsPerProducer; left > 0;) {
    for (const auto& [producer, number] : inbox.TakeAll(kAwaitBound)) {
      if (number != next[static_cast<std::size_t>(producer)]++) {
        return false;
      }
      --left;
    }
  }
  return true;
}

// Every accepted task must run exactly once, although the queue is often full
// and tasks are refused.
auto CheckTaskPool() -> bool {
  constexpr auto kTasks = 20'000;
  constexpr auto kMaxWaiting = std::size_t{64};
  auto ran = std::atomic<int>(0);
  auto accepted = 0;
  auto pool = ThreadPool(3, kMaxWaiting);
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

// Versions are published while traffic threads forward packets. Every packet
// must be forwarded or be counted as dropped, and none may be relayed.
class TrafficCheck {
 public:
  TrafficCheck()
      : router_({}, IdFromName<InstanceId>("stress"), events_, clock_.Now()) {}

  auto Run() -> Result<bool> {
    BOOST_LEAF_CHECK(Start());
    if (!SendPackets(kPackets)) {
      return false;
    }
    // If a busy machine delays the control thread for longer than its freshness
    // lease, all packets are dropped for some seconds and forwarded again
    // afterwards.
    const auto latest = clock_.Now() + kAwaitBound;
    while (traffic_->totals().forwarded == 0 && clock_.Now() < latest) {
      if (!SendPackets(kVersionPackets)) {
        return false;
      }
    }
    const auto totals = traffic_->totals();
    return totals.forwarded > 0 && totals.relayed == 0;
  }

 private:
  static constexpr auto kPackets = std::uint32_t{6'400};
  // Number of packets per version, and of packets sent before waiting until
  // they are received.
  static constexpr auto kVersionPackets = std::uint32_t{100};
  static constexpr auto kUnreadPackets = std::uint32_t{64};

  auto Start() -> Result<void> {
    BOOST_LEAF_ASSIGN(sink_, BindUdp(AnyLoopbackPort(), false));
    BOOST_LEAF_AUTO(probe, BindUdp(AnyLoopbackPort(), false));
    address_ = LocalAddress(probe);
    probe = FileDescriptor();
    BOOST_LEAF_ASSIGN(traffic_,
                      TrafficThreads::Start(address_, 2, router_, clock_));
    objects_.flow_endpoints = {LocalAddress(sink_)};
    source_ = FileDescriptor(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
    return {};
  }

  // Sends `count` packets. Returns whether all packets sent so far were
  // forwarded, relayed or dropped.
  auto SendPackets(std::uint32_t count) -> bool {
    for (const auto end = sent_ + count; sent_ < end;) {
      if (sent_ % kVersionPackets == 0) {
        PublishNext();
      }
      Send();
      if (sent_ % kUnreadPackets == 0 && !AwaitReceived()) {
        return false;
      }
    }
    return Await([this] { return Ended() == sent_; }, kAwaitBound);
  }

  void PublishNext() {
    const auto now = clock_.Now();
    config_ = NextLocalConfig(objects_, config_.get(), now);
    router_.Update(config_, NewMembers(now), now);
    static_cast<void>(router_.OnTick(now));
  }

  void Send() {
    const auto remote = ToSockaddr(address_);
    const auto datagram = EncodeProbe({sent_, sent_ % 2}, kFlowServiceAddress);
    sendto(source_.get(), datagram.data(), datagram.size(), 0,
           reinterpret_cast<const sockaddr*>(&remote), sizeof(remote));
    ++sent_;
  }

  // Waits for the traffic threads, so that the socket's buffer does not
  // overflow.
  auto AwaitReceived() -> bool {
    return Await([this] { return traffic_->totals().received >= sent_; },
                 kAwaitBound);
  }

  auto Ended() const -> std::uint64_t {
    const auto totals = traffic_->totals();
    auto ended = totals.forwarded + totals.relayed;
    for (const auto& [reason, count] : totals.dropped) {
      ended += count;
    }
    return ended;
  }

  const SystemClock clock_;
  EventLog events_{"stress"};
  FlowRouter router_;
  FileDescriptor sink_;
  FileDescriptor source_;
  SocketAddress address_;
  LocalObjects objects_;
  std::shared_ptr<const FleetConfig> config_;
  std::uint32_t sent_ = 0;
  std::unique_ptr<TrafficThreads> traffic_;  // Last: it uses the router.
};

}  // namespace

}  // namespace hemlockwick

auto main() -> int {
  using hemlockwick::Error;
  const auto traffic =
      hemlockwick::TryOr([] { return hemlockwick::TrafficCheck().Run(); },
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
