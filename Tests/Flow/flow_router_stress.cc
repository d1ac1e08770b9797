// Decides packets on several threads while the control thread changes the
// endpoints. Exits 1 when a flow moves to another endpoint.
#include <atomic>
#include <cstdlib>
#include <thread>
#include <vector>

#include "Flow/flow_snapshot.h"
#include "Flow/flow_timing.h"
#include "Measure/flow_node.h"
#include "Measure/flow_world.h"

namespace {

using hemlockwick::FlowAction;
using hemlockwick::FlowKey;
using hemlockwick::FlowPacket;
using hemlockwick::FlowSnapshot;
using hemlockwick::ForwardToEndpoint;
using hemlockwick::TimePoint;

constexpr TimePoint kStart{std::chrono::hours(500'000)};
constexpr auto kStep = std::chrono::milliseconds(200);
constexpr int kSteps = 400;
constexpr int kStepsPerChange = 60;
constexpr std::size_t kThreads = 3;
constexpr std::uint64_t kFlowsPerThread = 300;

struct Shared {
  hemlockwick::FlowRouter& router;
  FlowPacket prototype;
  std::atomic<TimePoint> now{kStart};
  std::atomic<bool> done{false};
  std::atomic<bool> moved{false};
};

// Sends packets of the thread's own flows until the control thread ends.
void SendPackets(Shared& shared, std::uint64_t thread) {
  auto reader =
      hemlockwick::SnapshotReader<FlowSnapshot>(shared.router.snapshots());
  auto owners = std::vector<hemlockwick::EndpointId>(kFlowsPerThread);
  for (std::uint64_t turn = 0; !shared.done; ++turn) {
    const auto index = turn % kFlowsPerThread;
    auto& owner = owners[index];
    auto packet = shared.prototype;
    packet.flow = FlowKey(thread * kFlowsPerThread + index);
    packet.opens = owner.value() == 0;
    const auto now = shared.now.load();
    const auto action = shared.router.Decide(reader.Get(), packet, now);
    const auto* forward = std::get_if<ForwardToEndpoint>(&action);
    if (forward == nullptr) {
      continue;
    }
    if (!packet.opens && forward->endpoint != owner) {
      shared.moved = true;
    }
    owner = forward->endpoint;
  }
}

void RunControl(Shared& shared, hemlockwick::FlowWorld& world) {
  auto view = hemlockwick::MemberView();
  view.self = hemlockwick::InstanceId(1);
  view.members.resize(1);
  view.members.front().id = view.self;
  for (auto step = 0; step < kSteps; ++step) {
    const auto now = kStart + step * kStep;
    if (step % kStepsPerChange == 1) {
      world.Add(now);
      world.Publish(now);
    }
    view.refreshed = now;
    shared.router.Update(world.config(), view, now);
    shared.router.OnTick(now);
    shared.now = now;
    std::this_thread::yield();
  }
  shared.done = true;
}

}  // namespace

auto main() -> int {
  auto world = hemlockwick::FlowWorld({14}, kStart);
  auto events = hemlockwick::EventLog("stress");
  auto router = hemlockwick::FlowRouter(
      {.max_records = 10'000}, hemlockwick::InstanceId(1), events, kStart);
  auto shared = Shared{router, {}};
  shared.prototype.destination = world.config()->services.front()->address;
  auto threads = std::vector<std::thread>();
  for (std::uint64_t i = 0; i < kThreads; ++i) {
    threads.emplace_back([&shared, i] { SendPackets(shared, i); });
  }
  RunControl(shared, world);
  for (auto& thread : threads) {
    thread.join();
  }
  return shared.moved ? EXIT_FAILURE : EXIT_SUCCESS;
}
