#include "StandIn/flow_caller.h"

#include <sys/socket.h>
#include <sys/time.h>

#include <utility>

#include "Runtime/socket.h"
#include "StandIn/await.h"
#include "StandIn/flow_packet.h"
#include "StandIn/loopback.h"

namespace hemlockwick {

namespace {

constexpr Duration kSendInterval = std::chrono::milliseconds(250);
constexpr auto kReceiveWait = timeval{0, 50'000};

}  // namespace

auto FlowCaller::Start(SocketAddress service, Duration answer_timeout)
    -> Result<std::unique_ptr<FlowCaller>> {
  BOOST_LEAF_AUTO(socket, BindUdp(AnyLoopbackPort(), false));
  auto result = std::unique_ptr<FlowCaller>(
      new FlowCaller(service, answer_timeout, std::move(socket)));
  result->receiver_ =
      std::jthread([self = result.get()](const std::stop_token& stop) {
        self->Receive(stop);
      });
  return result;
}

FlowCaller::FlowCaller(SocketAddress service, Duration answer_timeout,
                       FileDescriptor socket)
    : service_(service),
      answer_timeout_(answer_timeout),
      socket_(std::move(socket)),
      address_(LocalAddress(socket_)) {
  setsockopt(socket_.get(), SOL_SOCKET, SO_RCVTIMEO, &kReceiveWait,
             sizeof(kReceiveWait));
}

FlowCaller::~FlowCaller() = default;

void FlowCaller::Begin(Fabric& fabric) {
  sender_ = std::jthread(
      [this, &fabric](const std::stop_token& stop) { Send(fabric, stop); });
}

auto FlowCaller::OpenMore(std::size_t count) -> std::uint32_t {
  const auto lock = std::lock_guard(mutex_);
  const auto first = static_cast<std::uint32_t>(flows_.size());
  flows_.resize(flows_.size() + count);
  return first;
}

auto FlowCaller::totals(std::uint32_t first) const -> FlowTotals {
  const auto lock = std::lock_guard(mutex_);
  auto totals = FlowTotals();
  totals.answers = answers_;
  for (auto number = std::size_t{first}; number < flows_.size(); ++number) {
    const auto& flow = flows_[number];
    if (flow.broken) {
      ++totals.broken;
    } else if (flow.endpoint) {
      ++totals.open;
      ++totals.by_endpoint[*flow.endpoint];
    }
  }
  return totals;
}

void FlowCaller::Send(Fabric& fabric, const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    SendAll(fabric);
    Await([&stop] { return stop.stop_requested(); }, kSendInterval);
  }
}

void FlowCaller::SendAll(Fabric& fabric) {
  const auto lock = std::lock_guard(mutex_);
  const auto now = Clock::now();
  for (auto number = std::size_t{0}; number < flows_.size(); ++number) {
    auto& flow = flows_[number];
    const auto target = fabric.Pick();
    if (flow.broken || !target) {
      continue;
    }
    flow.broken = now - flow.answered > answer_timeout_;
    const auto datagram = EncodeProbe(
        {static_cast<std::uint32_t>(number), flow.sequence}, service_);
    const auto remote = ToSockaddr(target->packet);
    sendto(socket_.get(), datagram.data(), datagram.size(), 0,
           reinterpret_cast<const sockaddr*>(&remote), sizeof(remote));
  }
}

void FlowCaller::Receive(const std::stop_token& stop) {
  auto answer = FlowAnswer();
  while (!stop.stop_requested()) {
    if (recv(socket_.get(), &answer, sizeof(answer), 0) != sizeof(answer)) {
      continue;
    }
    const auto lock = std::lock_guard(mutex_);
    if (answer.flow >= flows_.size()) {
      continue;
    }
    ++answers_;
    auto& flow = flows_[answer.flow];
    flow.answered = Clock::now();
    const auto moved = flow.endpoint && *flow.endpoint != answer.endpoint;
    flow.broken = flow.broken || answer.reset != 0 || moved;
    flow.endpoint = flow.endpoint.value_or(answer.endpoint);
    if (answer.sequence == flow.sequence) {
      ++flow.sequence;
    }
  }
}

}  // namespace hemlockwick
