#include "Runtime/packet_forwarder.h"

#include <sys/socket.h>
#include <sys/time.h>

#include <utility>
#include <variant>

namespace hemlockwick {

namespace {

// Maximum size of a datagram; longer ones are dropped as truncated.
constexpr std::size_t kMaxDatagramBytes = 9216;

// Maximum wait for a first datagram, after which the thread checks whether to
// stop.
constexpr auto kReceiveWait = timeval{0, 100'000};

void Count(PacketCounters::Counter& counter, std::uint64_t amount = 1) {
  const auto value = counter.load(std::memory_order_relaxed);
  counter.store(value + amount, std::memory_order_relaxed);
}

}  // namespace

PacketForwarder::PacketForwarder(FileDescriptor socket, FlowRouter& router,
                                 const SystemClock& clock)
    : socket_(std::move(socket)),
      clock_(clock),
      router_(router),
      batch_(kPacketBatch, kMaxDatagramBytes) {
  setsockopt(socket_.get(), SOL_SOCKET, SO_RCVTIMEO, &kReceiveWait,
             sizeof(kReceiveWait));
}

auto PacketForwarder::RunBatch() -> std::size_t {
  const auto arrived = batch_.Receive(socket_);
  if (arrived == 0) {
    return 0;
  }
  const auto now = clock_.Now();
  Count(counters_.received, arrived);
  for (auto index = std::size_t{0}; index < arrived; ++index) {
    if (batch_.is_truncated(index)) {
      Count(counters_
                .decode_errors[static_cast<std::size_t>(GueError::kTruncated)]);
      continue;
    }
    Handle(batch_.datagram(index), now);
  }
  Count(counters_.send_failed, batch_.Flush(socket_));
  return arrived;
}

void PacketForwarder::Handle(Bytes datagram, TimePoint now) {
  const auto decoded = DecodeGue(datagram);
  if (const auto* const error = std::get_if<GueError>(&decoded)) {
    Count(counters_.decode_errors[static_cast<std::size_t>(*error)]);
    return;
  }
  const auto& packet = std::get<GuePacket>(decoded);
  const auto action = router_.Decide(packet.packet, now);
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
  batch_.Queue(Bytes(header.bytes.data(), header.size), inner, destination);
}

}  // namespace hemlockwick
