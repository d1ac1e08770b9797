#include "StandIn/flow_endpoint.h"

#include <sys/socket.h>
#include <sys/time.h>

#include <array>
#include <utility>
#include <variant>

#include "Runtime/gue_codec.h"
#include "Runtime/socket.h"
#include "StandIn/flow_packet.h"
#include "StandIn/loopback.h"

namespace hemlockwick {

namespace {

constexpr std::size_t kMaxDatagramBytes = 2048;
constexpr auto kReceiveWait = timeval{0, 50'000};

}  // namespace

auto FlowEndpoint::Start(std::uint32_t number, SocketAddress service,
                         SocketAddress caller)
    -> Result<std::unique_ptr<FlowEndpoint>> {
  BOOST_LEAF_AUTO(socket, BindUdp(AnyLoopbackPort(), false));
  auto result = std::unique_ptr<FlowEndpoint>(
      new FlowEndpoint(number, service, caller, std::move(socket)));
  result->thread_ = std::jthread(
      [self = result.get()](const std::stop_token& stop) { self->Run(stop); });
  return result;
}

FlowEndpoint::FlowEndpoint(std::uint32_t number, SocketAddress service,
                           SocketAddress caller, FileDescriptor socket)
    : number_(number),
      service_(service),
      caller_(caller),
      socket_(std::move(socket)),
      address_(LocalAddress(socket_)) {
  setsockopt(socket_.get(), SOL_SOCKET, SO_RCVTIMEO, &kReceiveWait,
             sizeof(kReceiveWait));
}

void FlowEndpoint::Run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    Receive();
  }
}

void FlowEndpoint::Receive() {
  auto buffer = std::array<std::uint8_t, kMaxDatagramBytes>();
  const auto size = recv(socket_.get(), buffer.data(), buffer.size(), 0);
  if (size <= 0) {
    return;
  }
  const auto decoded =
      DecodeGue(Bytes(buffer.data(), static_cast<std::size_t>(size)));
  const auto* const packet = std::get_if<GuePacket>(&decoded);
  const auto probe =
      packet == nullptr ? std::nullopt : DecodeProbe(packet->inner);
  if (!probe) {
    return;
  }
  if (packet->packet.destination != service_) {
    ++foreign_;
    return;
  }
  if (probe->sequence == 0) {
    opened_ += flows_.insert(probe->flow).second ? 1 : 0;
  }
  const auto known = flows_.contains(probe->flow);
  const auto answer =
      FlowAnswer{probe->flow, probe->sequence, number_, known ? 0U : 1U};
  const auto caller = ToSockaddr(caller_);
  sendto(socket_.get(), &answer, sizeof(answer), 0,
         reinterpret_cast<const sockaddr*>(&caller), sizeof(caller));
}

}  // namespace hemlockwick
