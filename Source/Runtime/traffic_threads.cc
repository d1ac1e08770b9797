#include "Runtime/traffic_threads.h"

#include <stop_token>
#include <utility>

#include "Runtime/socket.h"

namespace hemlockwick {

namespace {

void Add(const PacketCounters& counters, PacketTotals& totals) {
  totals.received += counters.received;
  totals.forwarded += counters.forwarded;
  totals.relayed += counters.relayed;
  totals.send_failed += counters.send_failed;
  for (auto index = std::size_t{0}; index < kDropReasonCount; ++index) {
    const auto reason = static_cast<DropReason>(index);
    totals.dropped[std::string(ToString(reason))] += counters.dropped[index];
  }
  for (auto index = std::size_t{0}; index < kGueErrorCount; ++index) {
    const auto error = static_cast<GueError>(index);
    totals.dropped["gue_" + std::string(ToString(error))] +=
        counters.decode_errors[index];
  }
}

}  // namespace

auto TrafficThreads::Start(const SocketAddress& address, std::size_t count,
                           FlowRouter& router, const SystemClock& clock)
    -> Result<std::unique_ptr<TrafficThreads>> {
  // Sockets with SO_REUSEPORT can share an address with another process of the
  // same user. Binding a first socket without it fails if the address is in
  // use.
  BOOST_LEAF_CHECK(BindUdp(address, false));
  auto result = std::unique_ptr<TrafficThreads>(new TrafficThreads());
  for (auto index = std::size_t{0}; index < count; ++index) {
    BOOST_LEAF_AUTO(socket, BindUdp(address, true));
    result->forwarders_.push_back(
        std::make_unique<PacketForwarder>(std::move(socket), router, clock));
  }
  for (const auto& forwarder : result->forwarders_) {
    result->threads_.emplace_back(
        [&forwarder = *forwarder](const std::stop_token& stop) {
          while (!stop.stop_requested()) {
            forwarder.RunBatch();
          }
        });
  }
  return result;
}

auto TrafficThreads::totals() const -> PacketTotals {
  auto totals = PacketTotals();
  for (const auto& forwarder : forwarders_) {
    Add(forwarder->counters(), totals);
  }
  return totals;
}

}  // namespace hemlockwick
