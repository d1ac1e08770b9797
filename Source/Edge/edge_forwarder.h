#ifndef HEMLOCKWICK_EDGE_EDGE_FORWARDER_H_
#define HEMLOCKWICK_EDGE_EDGE_FORWARDER_H_

#include <atomic>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Core/snapshot_cell.h"
#include "Edge/edge_metrics.h"
#include "Edge/health_mailbox.h"
#include "Edge/packet_codec.h"
#include "Edge/router_log.h"
#include "Flow/token_router.h"
#include "Runtime/datagram_batch.h"
#include "Runtime/log.h"
#include "Runtime/socket.h"
#include "Runtime/system_clock.h"

namespace hemlockwick {

// Maximum number of datagrams received by one system call.
inline constexpr std::size_t kEdgeBatchSize = 32;

// Packet path of an edge process: receives datagrams and, as TokenRouter
// decides, forwards each with the token of its flow, which identifies the
// flow's endpoint, drops it or resets the flow. Only one thread may call
// RunBatch.
template <PacketCodec Codec>
class EdgeForwarder {
 public:
  using Directories = SnapshotCell<DirectorySnapshot>;

  // `socket` is a bound UDP socket with a receive timeout. Everything passed
  // by reference must outlive the forwarder.
  EdgeForwarder(FileDescriptor socket, const TokenRouterSettings& settings,
                const Directories& directories, HealthMailbox& mailbox,
                EdgeMetrics& metrics, const SystemClock& clock)
      : socket_(std::move(socket)),
        local_(LocalAddress(socket_)),
        metrics_(metrics),
        clock_(clock),
        directories_(directories),
        mailbox_(mailbox),
        router_(settings),
        batch_(kEdgeBatchSize, Codec::kMaxDatagramBytes) {}

  // Handles the datagrams that have arrived. Waits for the first one up to the
  // socket's receive timeout.
  void RunBatch() {
    const auto arrived = batch_.Receive(socket_);
    const auto now = clock_.Now();
    UpdateDirectory(now);
    router_.SetInstances(mailbox_.instances());
    if (arrived > 0) {
      metrics_.CountReceived(arrived);
      last_packet_.store(now, std::memory_order_relaxed);
    }
    for (auto index = std::size_t{0}; index < arrived; ++index) {
      if (batch_.is_truncated(index)) {
        metrics_.CountMalformed();
      } else {
        Handle(batch_.datagram(index), now);
      }
    }
    Flush();
    if (arrived < batch_.capacity()) {
      router_.ApplySharedSuspects(mailbox_.TakeShared(), now);
      if (const auto speeds = mailbox_.TakeSpeeds()) {
        router_.ApplySharedSpeeds(*speeds, now);
      }
      SendResets(router_.OnTick(now));
    }
    Report(now);
  }

  // Time at which the last datagram was received. May be called by any thread.
  [[nodiscard]] auto last_packet() const -> TimePoint {
    return last_packet_.load(std::memory_order_relaxed);
  }

 private:
  void UpdateDirectory(TimePoint now) {
    const auto generation = directories_.generation();
    if (generation == seen_generation_) {
      return;
    }
    seen_generation_ = generation;
    SendResets(router_.Update(directories_.Load(), now));
  }

  void Handle(std::span<std::uint8_t> datagram, TimePoint now) {
    const auto packet = Codec::Decode(datagram);
    if (!packet) {
      metrics_.CountMalformed();
      return;
    }
    const auto action = router_.Decide(*packet, now);
    if (const auto* const forward = std::get_if<ForwardWithToken>(&action)) {
      Codec::WriteToken(datagram, forward->token);
      batch_.Queue(Codec::PrefixOf(forward->endpoint), datagram,
                   forward->address);
      metrics_.CountForwarded();
    } else if (const auto* const reset = std::get_if<ResetFlow>(&action)) {
      QueueReset(*reset);
    } else {
      metrics_.CountDropped(std::get<DropPacket>(action).reason);
    }
  }

  void QueueReset(const ResetFlow& reset) {
    batch_.Queue(Codec::EncodeReset(reset), {},
                 Codec::ResetDestination(reset, local_));
    metrics_.CountReset(reset.reason);
  }

  void SendResets(const std::vector<ResetFlow>& resets) {
    for (const auto& reset : resets) {
      QueueReset(reset);
      if (batch_.queued() == batch_.capacity()) {
        Flush();
      }
    }
    Flush();
  }

  void Flush() {
    const auto failed = batch_.Flush(socket_);
    if (failed > 0) {
      metrics_.CountSendFailed(failed);
    }
  }

  void Report(TimePoint now) {
    router_.set_reports_answers(IsLogged(LogLevel::kDebug));
    const auto observations = router_.TakeObservations();
    if (!observations.empty()) {
      mailbox_.AddLocal(observations);
    }
    mailbox_.AddReplies(router_.TakeReplySummaries(now));
    for (const auto& event : router_.TakeEvents()) {
      metrics_.CountEvent(event.kind);
      LogRouterEvent(event, router_.directory(), now);
    }
    if (router_.dropped_events() != dropped_events_) {
      dropped_events_ = router_.dropped_events();
      LogBuffered(LogLevel::kWarning, "notes_lost",
                  {{"total", std::to_string(dropped_events_)}});
    }
    if (router_.unanswered_requests() != unanswered_) {
      metrics_.CountUnanswered(router_.unanswered_requests() - unanswered_);
      unanswered_ = router_.unanswered_requests();
    }
    if (router_.diverted_openings() != diverted_) {
      metrics_.CountDiverted(router_.diverted_openings() - diverted_);
      diverted_ = router_.diverted_openings();
    }
    for (const auto& sample : router_.TakeReplySamples()) {
      metrics_.Observe(sample);
    }
  }

  const FileDescriptor socket_;
  const SocketAddress local_;
  EdgeMetrics& metrics_;
  const SystemClock& clock_;
  const Directories& directories_;
  HealthMailbox& mailbox_;
  std::uint64_t seen_generation_ = 0;
  TokenRouter router_;
  DatagramBatch batch_;
  std::uint64_t dropped_events_ = 0;
  std::uint64_t unanswered_ = 0;
  std::uint64_t diverted_ = 0;
  std::atomic<TimePoint> last_packet_{TimePoint()};
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_EDGE_FORWARDER_H_
