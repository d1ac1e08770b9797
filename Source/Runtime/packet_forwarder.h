#ifndef HEMLOCKWICK_RUNTIME_PACKET_FORWARDER_H_
#define HEMLOCKWICK_RUNTIME_PACKET_FORWARDER_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "Flow/flow_router.h"
#include "Flow/record_router.h"
#include "Runtime/datagram_batch.h"
#include "Runtime/file_descriptor.h"
#include "Runtime/gue_codec.h"
#include "Runtime/system_clock.h"

namespace hemlockwick {

// Maximum number of datagrams received or sent by one system call.
inline constexpr std::size_t kPacketBatch = 64;

// Packet counters of one traffic thread, their only writer. Any thread may read
// them.
struct PacketCounters {
  using Counter = std::atomic<std::uint64_t>;

  Counter received{0};
  Counter forwarded{0};
  Counter relayed{0};
  Counter send_failed{0};
  std::array<Counter, kDropReasonCount> dropped{};
  std::array<Counter, kGueErrorCount> decode_errors{};
};

// The packet path of one traffic thread: receives GUE datagrams in batches,
// routes each of them and forwards the inner packets unchanged.
class PacketForwarder {
 public:
  // `socket` is a bound UDP socket. The router and the clock must outlive the
  // forwarder.
  PacketForwarder(FileDescriptor socket, FlowRouter& router,
                  const SystemClock& clock);
  PacketForwarder(const PacketForwarder&) = delete;
  auto operator=(const PacketForwarder&) -> PacketForwarder& = delete;

  // Waits briefly for a first datagram and handles all that have arrived.
  // Returns their number.
  auto RunBatch() -> std::size_t;

  [[nodiscard]] auto counters() const -> const PacketCounters& {
    return counters_;
  }

 private:
  void Handle(Bytes datagram, TimePoint now);
  void Queue(const GueHeader& header, Bytes inner,
             const SocketAddress& destination);

  const FileDescriptor socket_;
  const SystemClock& clock_;
  RecordRouter router_;
  PacketCounters counters_;
  DatagramBatch batch_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_PACKET_FORWARDER_H_
