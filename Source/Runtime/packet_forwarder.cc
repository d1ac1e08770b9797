#include "Runtime/packet_forwarder.h"

#include <sys/socket.h>
#include <sys/time.h>

#include <utility>
#include <variant>

#include "Runtime/socket.h"

namespace hemlockwick {

namespace {

// Largest datagram taken; longer ones are dropped as truncated.
constexpr std::size_t kMaxDatagramBytes = 9216;

// Longest wait for a first datagram, after which the thread looks for a stop.
constexpr auto kReceiveWait = timeval{0, 100'000};

void Count(PacketCounters::Counter& counter, std::uint64_t amount = 1) {
  const auto value = counter.load(std::memory_order_relaxed);
  counter.store(value + amount, std::memory_order_relaxed);
}

}  // namespace

struct PacketForwarder::Buffers {
  std::array<std::array<std::uint8_t, kMaxDatagramBytes>, kPacketBatch> data;
  std::array<iovec, kPacketBatch> receive_parts{};
  std::array<mmsghdr, kPacketBatch> received{};

  std::array<GueHeader, kPacketBatch> headers{};
  std::array<std::array<iovec, 2>, kPacketBatch> send_parts{};
  std::array<sockaddr_in, kPacketBatch> destinations{};
  std::array<mmsghdr, kPacketBatch> sending{};
  std::size_t queued = 0;

  Buffers() {
    for (auto index = std::size_t{0}; index < kPacketBatch; ++index) {
      receive_parts[index] = {data[index].data(), kMaxDatagramBytes};
      received[index].msg_hdr.msg_iov = &receive_parts[index];
      received[index].msg_hdr.msg_iovlen = 1;
      auto& message = sending[index].msg_hdr;
      message.msg_name = &destinations[index];
      message.msg_namelen = sizeof(sockaddr_in);
      message.msg_iov = send_parts[index].data();
      message.msg_iovlen = send_parts[index].size();
    }
  }
};

PacketForwarder::PacketForwarder(FileDescriptor socket, FlowRouter& router,
                                 const SystemClock& clock)
    : socket_(std::move(socket)),
      router_(router),
      clock_(clock),
      snapshots_(router.snapshots()),
      buffers_(std::make_unique<Buffers>()) {
  setsockopt(socket_.get(), SOL_SOCKET, SO_RCVTIMEO, &kReceiveWait,
             sizeof(kReceiveWait));
}

PacketForwarder::~PacketForwarder() = default;

auto PacketForwarder::RunBatch() -> std::size_t {
  const auto count = recvmmsg(socket_.get(), buffers_->received.data(),
                              kPacketBatch, MSG_WAITFORONE, nullptr);
  if (count <= 0) {
    return 0;
  }
  const auto now = clock_.Now();
  const auto arrived = static_cast<std::size_t>(count);
  Count(counters_.received, arrived);
  for (auto index = std::size_t{0}; index < arrived; ++index) {
    const auto& message = buffers_->received[index];
    if ((message.msg_hdr.msg_flags & MSG_TRUNC) != 0) {
      Count(counters_
                .undecodable[static_cast<std::size_t>(GueError::kTruncated)]);
      continue;
    }
    Handle(Bytes(buffers_->data[index].data(), message.msg_len), now);
  }
  Flush();
  return arrived;
}

void PacketForwarder::Handle(Bytes datagram, TimePoint now) {
  const auto decoded = DecodeGue(datagram);
  if (const auto* const error = std::get_if<GueError>(&decoded)) {
    Count(counters_.undecodable[static_cast<std::size_t>(*error)]);
    return;
  }
  const auto& packet = std::get<GuePacket>(decoded);
  const auto action = router_.Decide(snapshots_.Get(), packet.packet, now);
  if (const auto* const forward = std::get_if<ForwardToEndpoint>(&action)) {
    Count(counters_.forwarded);
    Queue(EncodeGueHeader(), packet.inner, forward->address);
  } else if (const auto* const relay = std::get_if<RelayToInstance>(&action)) {
    Count(counters_.relayed);
    Queue(EncodeGueHeader(relay->mark), packet.inner, relay->address);
  } else {
    const auto reason = std::get<DropPacket>(action).reason;
    Count(counters_.dropped[static_cast<std::size_t>(reason)]);
  }
}

void PacketForwarder::Queue(const GueHeader& header, Bytes inner,
                            const SocketAddress& destination) {
  const auto index = buffers_->queued++;
  auto& kept = buffers_->headers[index];
  kept = header;
  buffers_->send_parts[index][0] = {kept.bytes.data(), kept.size};
  // sendmmsg does not write to its buffers.
  buffers_->send_parts[index][1] = {const_cast<std::uint8_t*>(inner.data()),
                                    inner.size()};
  buffers_->destinations[index] = ToSockaddr(destination);
}

void PacketForwarder::Flush() {
  auto sent = std::size_t{0};
  while (sent < buffers_->queued) {
    const auto count =
        sendmmsg(socket_.get(), &buffers_->sending[sent],
                 static_cast<unsigned>(buffers_->queued - sent), 0);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
    } else {
      // The first message failed; the others may still be sent.
      Count(counters_.send_failed);
      ++sent;
    }
  }
  buffers_->queued = 0;
}

}  // namespace hemlockwick
