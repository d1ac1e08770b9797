#include "Measure/udp_bench.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Core/random.h"
#include "Flow/flow_router.h"
#include "Runtime/gue_codec.h"
#include "Runtime/packet_forwarder.h"
#include "Runtime/socket.h"
#include "Runtime/system_clock.h"

namespace hemlockwick {

namespace {

constexpr auto kServiceAddress =
    SocketAddress{Ipv4Address(0x0A000001), Port(443)};
constexpr auto kLoopback = SocketAddress{Ipv4Address(0x7F000001), Port(0)};
constexpr std::size_t kPacketBytes = 64;
constexpr std::size_t kMaxDatagramBytes = 2048;
constexpr std::uint32_t kBuckets = 4096;
constexpr auto kEndpoints = 14;

using Datagram = std::array<std::uint8_t, kGueBaseBytes + kPacketBytes>;
using BenchClock = std::chrono::steady_clock;

// A GUE datagram with a TCP segment of the flow with this number.
auto NewDatagram(std::uint32_t flow) -> Datagram {
  auto datagram = Datagram{0, 4, 0, 0};
  auto* const inner = datagram.data() + kGueBaseBytes;
  const auto put = [inner](std::size_t offset, std::uint32_t value) {
    for (auto index = std::size_t{0}; index < sizeof(value); ++index) {
      inner[offset + index] =
          static_cast<std::uint8_t>(value >> (8 * (3 - index)));
    }
  };
  put(0, 0x45000000 | kPacketBytes);
  put(8, 0x40060000);
  put(12, 0x0B000000 + flow);
  put(16, kServiceAddress.ip.value());
  put(20, 0x80000000 | kServiceAddress.port.value());
  put(32, 0x50100000);
  return datagram;
}

auto NewEndpoint(int number, const SocketAddress& address) -> Endpoint {
  auto endpoint = Endpoint();
  endpoint.name = "endpoint-" + std::to_string(number);
  endpoint.id = IdFromName<EndpointId>(endpoint.name);
  endpoint.data_centre = IdFromName<DataCentreId>("a");
  endpoint.address = address;
  return endpoint;
}

// One service whose endpoints all receive at `sink`.
auto NewConfig(Version version, const SocketAddress& sink, TimePoint published,
               bool draining) -> std::shared_ptr<const FleetConfig> {
  auto service = std::make_shared<Service>();
  service->name = "bench";
  service->id = IdFromName<ServiceId>(service->name);
  service->address = kServiceAddress;
  service->bucket_count = kBuckets;
  for (auto number = 0; number < kEndpoints; ++number) {
    service->endpoints.push_back(NewEndpoint(number, sink));
  }
  std::ranges::sort(service->endpoints, {}, &Endpoint::id);
  if (draining) {
    auto past = EndpointSet{Version(1), TimePoint(), {}};
    for (const auto& endpoint : service->endpoints) {
      past.endpoints.push_back({endpoint.id, endpoint.address,
                                endpoint.data_centre, endpoint.weight});
    }
    service->endpoint_history.push_back(past);
    service->endpoints.front().state = EndpointState::kDraining;
    service->endpoints.front().state_since = published;
  }
  const auto data_centre =
      DataCentre{IdFromName<DataCentreId>("a"), "a", RegionId(1)};
  return BuildFleetConfig(version, Digest(version.value()), published,
                          {data_centre}, {service});
}

auto NewMembers(TimePoint now) -> MemberView {
  auto self = Member();
  self.name = "bench";
  self.id = IdFromName<InstanceId>(self.name);
  self.data_centre = IdFromName<DataCentreId>("a");
  auto view = MemberView();
  view.self = self.id;
  view.data_centre = self.data_centre;
  view.refreshed = now;
  view.members.push_back(self);
  return view;
}

// Buffers for batches of datagrams of one socket.
class Batch {
 public:
  Batch() {
    for (auto index = std::size_t{0}; index < kPacketBatch; ++index) {
      parts_[index] = {data_[index].data(), kMaxDatagramBytes};
      messages_[index].msg_hdr.msg_iov = &parts_[index];
      messages_[index].msg_hdr.msg_iovlen = 1;
    }
  }

  auto Receive(int socket) -> std::size_t {
    for (auto& part : parts_) {
      part.iov_len = kMaxDatagramBytes;
    }
    const auto count =
        recvmmsg(socket, messages_.data(), kPacketBatch, MSG_DONTWAIT, nullptr);
    return count < 0 ? 0 : static_cast<std::size_t>(count);
  }

  void Send(int socket, std::size_t count, sockaddr_in& to) {
    for (auto index = std::size_t{0}; index < count; ++index) {
      auto& header = messages_[index].msg_hdr;
      parts_[index].iov_len = messages_[index].msg_len;
      header.msg_name = &to;
      header.msg_namelen = sizeof(to);
    }
    sendmmsg(socket, messages_.data(), static_cast<unsigned>(count), 0);
    for (auto& message : messages_) {
      message.msg_hdr.msg_name = nullptr;
      message.msg_hdr.msg_namelen = 0;
    }
  }

  void Set(std::size_t index, const Datagram& datagram) {
    std::ranges::copy(datagram, data_[index].begin());
    messages_[index].msg_len = datagram.size();
  }

 private:
  std::array<std::array<std::uint8_t, kMaxDatagramBytes>, kPacketBatch> data_;
  std::array<iovec, kPacketBatch> parts_{};
  std::array<mmsghdr, kPacketBatch> messages_{};
};

auto Median(std::vector<double> values) -> double {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::ranges::nth_element(values, middle);
  return *middle;
}

// Runs `work` and returns its time for each packet of a batch.
template <typename Work>
auto TimePerPacket(Work&& work) -> double {
  const auto begun = BenchClock::now();
  work();
  const auto taken =
      std::chrono::duration<double, std::nano>(BenchClock::now() - begun);
  return taken.count() / kPacketBatch;
}

class UdpBench {
 public:
  UdpBench(const UdpBenchSettings& settings, FileDescriptor source,
           FileDescriptor bare, FileDescriptor ours, FileDescriptor sink)
      : settings_(settings),
        random_(settings.random_seed),
        source_(std::move(source)),
        bare_(std::move(bare)),
        sink_(std::move(sink)),
        bare_address_(ToSockaddr(LocalAddress(bare_))),
        our_address_(ToSockaddr(LocalAddress(ours))),
        sink_address_(ToSockaddr(LocalAddress(sink_))),
        events_("bench"),
        router_({}, IdFromName<InstanceId>("bench"), events_, clock_.Now()),
        forwarder_(std::move(ours), router_, clock_) {}

  auto Run() -> UdpBenchFigures {
    auto figures = UdpBenchFigures();
    Publish(Version(1), false);
    figures.settled = RunRounds();
    figures.decode_ns = DecideOnly();
    Publish(Version(2), true);
    figures.changing = RunRounds();
    return figures;
  }

 private:
  void Publish(Version version, bool draining) {
    const auto now = clock_.Now();
    const auto sink = FromSockaddr(sink_address_);
    // Published long ago, so that the new endpoint set is in use.
    const auto published = now - std::chrono::minutes(1);
    router_.Update(NewConfig(version, sink, published, draining),
                   NewMembers(now), now);
  }

  auto NextDatagram() -> Datagram {
    return NewDatagram(
        static_cast<std::uint32_t>(random_.Below(settings_.flows)));
  }

  void Offer(sockaddr_in& to) {
    for (auto index = std::size_t{0}; index < kPacketBatch; ++index) {
      batch_.Set(index, NextDatagram());
    }
    batch_.Send(source_.get(), kPacketBatch, to);
  }

  void DrainSink() {
    while (batch_.Receive(sink_.get()) > 0) {
    }
  }

  // The two forwarders take turns, so that a change of the machine's speed
  // touches both.
  auto RunRounds() -> ForwarderPair {
    auto bare = std::vector<double>();
    auto ours = std::vector<double>();
    for (auto round = std::size_t{0}; round < settings_.rounds; ++round) {
      bare.push_back(BareRound());
      ours.push_back(OurRound());
    }
    return {Median(bare), Median(ours)};
  }

  auto BareRound() -> double {
    Offer(bare_address_);
    const auto taken = TimePerPacket([this] {
      const auto count = bare_batch_.Receive(bare_.get());
      bare_batch_.Send(bare_.get(), count, sink_address_);
    });
    DrainSink();
    return taken;
  }

  auto OurRound() -> double {
    const auto now = clock_.Now();
    router_.Update(nullptr, NewMembers(now), now);
    static_cast<void>(router_.OnTick(now));
    Offer(our_address_);
    const auto taken = TimePerPacket([this] { forwarder_.RunBatch(); });
    DrainSink();
    return taken;
  }

  auto DecideOnly() -> double {
    auto datagrams = std::vector<Datagram>();
    for (auto index = std::size_t{0}; index < kPacketBatch; ++index) {
      datagrams.push_back(NextDatagram());
    }
    auto reader = SnapshotReader<FlowSnapshot>(router_.snapshots());
    auto taken = std::vector<double>();
    for (auto round = std::size_t{0}; round < settings_.rounds; ++round) {
      const auto now = clock_.Now();
      taken.push_back(TimePerPacket([&] {
        for (const auto& datagram : datagrams) {
          const auto decoded = DecodeGue(datagram);
          const auto& packet = std::get<GuePacket>(decoded).packet;
          static_cast<void>(router_.Decide(reader.Get(), packet, now));
        }
      }));
    }
    return Median(taken);
  }

  const UdpBenchSettings settings_;
  const SystemClock clock_;
  Random random_;
  const FileDescriptor source_;
  const FileDescriptor bare_;
  const FileDescriptor sink_;
  sockaddr_in bare_address_;
  sockaddr_in our_address_;
  sockaddr_in sink_address_;
  EventLog events_;
  FlowRouter router_;
  PacketForwarder forwarder_;
  Batch batch_;
  Batch bare_batch_;
};

}  // namespace

auto RunUdpBench(const UdpBenchSettings& settings) -> Result<UdpBenchFigures> {
  BOOST_LEAF_AUTO(source, BindUdp(kLoopback, false));
  BOOST_LEAF_AUTO(bare, BindUdp(kLoopback, false));
  BOOST_LEAF_AUTO(ours, BindUdp(kLoopback, false));
  BOOST_LEAF_AUTO(sink, BindUdp(kLoopback, false));
  const auto bench =
      std::make_unique<UdpBench>(settings, std::move(source), std::move(bare),
                                 std::move(ours), std::move(sink));
  return bench->Run();
}

}  // namespace hemlockwick
