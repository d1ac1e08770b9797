#include "Runtime/peer_sender.h"

#include <utility>

#include "Runtime/http_client.h"
#include "Runtime/json_rpc.h"

namespace hemlockwick {

namespace {

constexpr std::size_t kThreads = 16;
constexpr std::size_t kMaxWaitingPeers = 1024;
constexpr std::size_t kThreadsPerPeer = 2;
constexpr std::size_t kMaxWaitingPerPeer = 256;
constexpr Duration kTimeout = std::chrono::seconds(1);
constexpr int kOk = 200;

auto Post(const SocketAddress& address, const std::string& request,
          std::string& response) -> bool {
  auto call = HttpRequest();
  call.method = "POST";
  call.path = "/rpc";
  call.headers["Content-Type"] = "application/json";
  call.body = request;
  call.timeout = kTimeout;
  return TryOr(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(answer, SendHttp(address, call));
        response = answer.body;
        return answer.status == kOk;
      },
      [](const Error&) { return false; });
}

}  // namespace

PeerSender::PeerSender(InstanceId self, EventLog& events,
                       const SystemClock& clock, OnFailed on_failed)
    : self_(self),
      events_(events),
      clock_(clock),
      on_failed_(std::move(on_failed)),
      pool_(kThreads, kMaxWaitingPeers) {}

void PeerSender::Send(PeerMessage message) {
  const auto address = message.address;
  {
    const auto lock = std::lock_guard(mutex_);
    auto& queue = queues_[address];
    if (queue.waiting.size() < kMaxWaitingPerPeer) {
      queue.waiting.push_back(std::move(message));
      if (queue.active_threads == kThreadsPerPeer) {
        return;
      }
      if (pool_.TrySubmit([this, address] { SendQueued(address); })) {
        ++queue.active_threads;
        return;
      }
      message = std::move(queue.waiting.back());
      queue.waiting.pop_back();
    }
  }
  ReportFailed(message);
}

auto PeerSender::stats() const -> PeerSenderStats {
  const auto lock = std::lock_guard(mutex_);
  return stats_;
}

void PeerSender::SendQueued(const SocketAddress& address) {
  auto message = PeerMessage();
  while (TakeNext(address, message)) {
    if (Deliver(message)) {
      continue;
    }
    ReportFailed(message);
    for (const auto& unsent : TakeAllQueued(address)) {
      ReportFailed(unsent);
    }
  }
}

auto PeerSender::TakeNext(const SocketAddress& address, PeerMessage& next)
    -> bool {
  const auto lock = std::lock_guard(mutex_);
  auto& queue = queues_[address];
  if (queue.waiting.empty()) {
    --queue.active_threads;
    if (queue.active_threads == 0) {
      queues_.erase(address);
    }
    return false;
  }
  next = std::move(queue.waiting.front());
  queue.waiting.pop_front();
  return true;
}

auto PeerSender::TakeAllQueued(const SocketAddress& address)
    -> std::deque<PeerMessage> {
  const auto lock = std::lock_guard(mutex_);
  return std::exchange(queues_[address].waiting, {});
}

auto PeerSender::Deliver(const PeerMessage& message) -> bool {
  const auto stamp = events_.Stamp(clock_.Now());
  const auto envelope =
      RpcEnvelope{message.plane, self_.value(), stamp.unix_millis,
                  stamp.counter, message.body};
  const auto transport = [&message](const std::string& request,
                                    std::string& response) {
    return Post(message.address, request, response);
  };
  const auto accepted = CallDeliver(transport, envelope);
  const auto lock = std::lock_guard(mutex_);
  stats_.sent += accepted ? 1 : 0;
  stats_.sent_bytes += message.body.size();
  return accepted;
}

void PeerSender::ReportFailed(const PeerMessage& message) {
  {
    const auto lock = std::lock_guard(mutex_);
    ++stats_.failed;
  }
  on_failed_(message);
}

}  // namespace hemlockwick
