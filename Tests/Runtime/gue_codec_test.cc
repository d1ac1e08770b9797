#include "Runtime/gue_codec.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <vector>

#include "Core/random.h"
#include "Runtime/packet_bytes.h"

namespace hemlockwick {

namespace {

// Decodes a copy on the heap of exactly the datagram's size, so that
// AddressSanitizer detects any read past the end.
auto Decode(const ByteVector& datagram) -> GueDecoded {
  const auto copy = std::make_unique<std::uint8_t[]>(datagram.size());
  std::ranges::copy(datagram, copy.get());
  return DecodeGue(Bytes(copy.get(), datagram.size()));
}

auto ErrorOf(const ByteVector& datagram) -> GueError {
  const auto decoded = Decode(datagram);
  cr_assert(std::holds_alternative<GueError>(decoded));
  return std::get<GueError>(decoded);
}

auto PacketOf(const ByteVector& datagram) -> FlowPacket {
  const auto decoded = Decode(datagram);
  cr_assert(std::holds_alternative<GuePacket>(decoded));
  return std::get<GuePacket>(decoded).packet;
}

auto WithMark(const RelayMark& mark, const ByteVector& inner) -> ByteVector {
  const auto header = EncodeGueHeader(mark);
  auto datagram = ByteVector(
      header.bytes.begin(),
      header.bytes.begin() + static_cast<std::ptrdiff_t>(header.size));
  datagram.insert(datagram.end(), inner.begin(), inner.end());
  return datagram;
}

Test(gue_codec, reads_the_flow_of_a_tcp_packet) {
  const auto packet = PacketOf(Encapsulate(TcpPacket(kSynFlag)));
  cr_assert_eq(packet.destination.ip.value(), 0x0A090807U);
  cr_assert_eq(packet.destination.port.value(), 443);
  cr_assert(packet.opens);
  cr_assert_not(packet.closes);
  cr_assert_eq(packet.relay.hops, 0);
}

Test(gue_codec, reads_the_tcp_flags) {
  constexpr auto kSynAck = std::uint8_t{0x12};
  constexpr auto kFin = std::uint8_t{0x01};
  constexpr auto kRst = std::uint8_t{0x04};
  cr_assert_not(PacketOf(Encapsulate(TcpPacket(kSynAck))).opens);
  cr_assert(PacketOf(Encapsulate(TcpPacket(kFin))).closes);
  cr_assert(PacketOf(Encapsulate(TcpPacket(kRst))).closes);
}

Test(gue_codec, keys_flows_by_protocol_addresses_and_ports) {
  const auto tcp = PacketOf(Encapsulate(TcpPacket(0))).flow;
  cr_assert_eq(PacketOf(Encapsulate(TcpPacket(kSynFlag))).flow.value(),
               tcp.value());
  cr_assert_neq(PacketOf(Encapsulate(UdpPacket())).flow.value(), tcp.value());
  constexpr auto kTupleBytes =
      std::to_array<std::size_t>({12, 15, 16, 19, 20, 21, 22, 23});
  for (const auto offset : kTupleBytes) {
    auto other = TcpPacket(0);
    other[offset] ^= 1;
    cr_assert_neq(PacketOf(Encapsulate(other)).flow.value(), tcp.value());
  }
}

Test(gue_codec, returns_the_inner_packet_unchanged) {
  const auto datagram = Encapsulate(UdpPacket());
  const auto decoded = DecodeGue(datagram);
  const auto inner = std::get<GuePacket>(decoded).inner;
  cr_assert(std::ranges::equal(inner, UdpPacket()));
}

Test(gue_codec, carries_the_relay_mark) {
  const auto mark =
      RelayMark{3, RelayStage::kAskPeer, Version(0x0102030405060708),
                EndpointId(0xFFEEDDCCBBAA9988)};
  const auto read = PacketOf(WithMark(mark, TcpPacket(0))).relay;
  cr_assert_eq(read.hops, mark.hops);
  cr_assert_eq(read.stage, mark.stage);
  cr_assert_eq(read.sender_version.value(), mark.sender_version.value());
  cr_assert_eq(read.known_owner.value(), mark.known_owner.value());
}

Test(gue_codec, encodes_the_header_that_endpoints_expect) {
  const auto header = EncodeGueHeader();
  const auto expected = ByteVector{0, 4, 0, 0};
  cr_assert(
      std::ranges::equal(Bytes(header.bytes.data(), header.size), expected));
}

Test(gue_codec, refuses_every_truncation) {
  const auto whole = WithMark({}, TcpPacket(0));
  for (auto size = std::size_t{0}; size < whole.size(); ++size) {
    const auto cut = ByteVector(
        whole.begin(), whole.begin() + static_cast<std::ptrdiff_t>(size));
    cr_assert_eq(ErrorOf(cut), GueError::kTruncated);
  }
}

Test(gue_codec, refuses_what_is_not_a_data_message_with_ipv4) {
  for (const auto& header :
       {ByteVector{0x40, 4, 0, 0}, ByteVector{0x20, 4, 0, 0},
        ByteVector{0, 41, 0, 0}, ByteVector{0, 4, 0, 1}}) {
    auto datagram = Encapsulate(TcpPacket(0));
    std::ranges::copy(header, datagram.begin());
    cr_assert_eq(ErrorOf(datagram), GueError::kVariant);
  }
}

Test(gue_codec, refuses_an_invalid_mark) {
  constexpr auto kStageByte = std::size_t{9};
  auto wrong_magic = WithMark({}, TcpPacket(0));
  wrong_magic[kGueBaseBytes] ^= 1;
  cr_assert_eq(ErrorOf(wrong_magic), GueError::kMark);
  auto wrong_stage = WithMark({}, TcpPacket(0));
  wrong_stage[kStageByte] = 200;
  cr_assert_eq(ErrorOf(wrong_stage), GueError::kMark);
}

Test(gue_codec, refuses_inconsistent_inner_headers) {
  struct Change {
    std::size_t offset;
    std::uint8_t value;
  };
  // IP version 6; IP header of 16 bytes; total length below the header length;
  // TCP header of 16 bytes; TCP header past the end of the packet.
  for (const auto& change : {Change{0, 0x65}, Change{0, 0x44}, Change{3, 19},
                             Change{32, 0x40}, Change{32, 0xF0}}) {
    auto inner = TcpPacket(0);
    inner[change.offset] = change.value;
    cr_assert_eq(ErrorOf(Encapsulate(inner)), GueError::kInner);
  }
  for (const auto length : {std::uint8_t{7}, std::uint8_t{13}}) {
    auto inner = UdpPacket();
    inner[25] = length;
    cr_assert_eq(ErrorOf(Encapsulate(inner)), GueError::kInner);
  }
}

Test(gue_codec, refuses_fragments_and_other_protocols) {
  auto first_fragment = TcpPacket(0);
  first_fragment[6] = 0x20;
  cr_assert_eq(ErrorOf(Encapsulate(first_fragment)), GueError::kFragment);
  auto later_fragment = TcpPacket(0);
  later_fragment[7] = 1;
  cr_assert_eq(ErrorOf(Encapsulate(later_fragment)), GueError::kFragment);
  auto icmp = TcpPacket(0);
  icmp[9] = 1;
  cr_assert_eq(ErrorOf(Encapsulate(icmp)), GueError::kProtocol);
}

// Checks that a decoded packet lies within its datagram, has at least the 28
// bytes of the IPv4 and UDP headers, and has a valid relay stage.
void CheckInvariants(const ByteVector& datagram) {
  const auto decoded = DecodeGue(datagram);
  const auto* const packet = std::get_if<GuePacket>(&decoded);
  if (packet == nullptr) {
    return;
  }
  const auto offset = packet->inner.data() - datagram.data();
  cr_assert_geq(offset, static_cast<std::ptrdiff_t>(kGueBaseBytes));
  cr_assert_leq(static_cast<std::size_t>(offset) + packet->inner.size(),
                datagram.size());
  cr_assert_geq(packet->inner.size(), 28);
  cr_assert_leq(packet->packet.relay.stage, RelayStage::kAskPeer);
}

auto ReadCorpus() -> std::vector<ByteVector> {
  auto corpus = std::vector<ByteVector>();
  for (const auto& entry :
       std::filesystem::directory_iterator(HEMLOCKWICK_GUE_CORPUS)) {
    auto file = std::ifstream(entry.path(), std::ios::binary);
    corpus.emplace_back(std::istreambuf_iterator<char>(file),
                        std::istreambuf_iterator<char>());
  }
  std::ranges::sort(corpus);
  return corpus;
}

Test(gue_codec, decodes_the_corpus) {
  const auto corpus = ReadCorpus();
  cr_assert_geq(corpus.size(), 5);
  const auto decoded = std::ranges::count_if(corpus, [](const auto& datagram) {
    return std::holds_alternative<GuePacket>(Decode(datagram));
  });
  // All inputs but `fragment`.
  cr_assert_eq(static_cast<std::size_t>(decoded), corpus.size() - 1);
}

Test(gue_codec, survives_seeded_mutations) {
  constexpr auto kRounds = 100'000;
  constexpr auto kSeed = std::uint64_t{20'260'101};
  const auto corpus = ReadCorpus();
  auto random = Random(kSeed);
  for (auto round = 0; round < kRounds; ++round) {
    auto datagram = corpus[random.Below(corpus.size())];
    for (auto change = random.Below(4); change > 0; --change) {
      datagram[random.Below(datagram.size())] =
          static_cast<std::uint8_t>(random.Below(256));
    }
    datagram.resize(datagram.size() - random.Below(8));
    CheckInvariants(datagram);
    static_cast<void>(Decode(datagram));
  }
}

}  // namespace

}  // namespace hemlockwick
