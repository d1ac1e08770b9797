#include "platform/packet_layout.h"

#include <criterion/criterion.h>

#include <vector>

#include "Edge/packet_codec.h"

namespace hemlockwick::platform {
namespace {

static_assert(PacketCodec<PacketLayout>);

using Bytes = std::vector<std::uint8_t>;

// A SYN from 100.64.0.7:40001 to 198.18.0.1:443 with the sequence number
// 0x11223344, as defined by the platform's protocol.
const auto kSyn = Bytes{0xd5, 0xc3, 0xb2, 0xa1, 0x80, 0x00, 0x00, 0x00, 0xbb,
                        0x01, 0x07, 0x00, 0x40, 0x64, 0x41, 0x9c, 0x01, 0x00,
                        0x12, 0xc6, 0x00, 0x00, 0x44, 0x33, 0x22, 0x11, 0x00,
                        0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};

constexpr SocketAddress kCaller{Ipv4Address(0x64400007), Port(40001)};
constexpr SocketAddress kService{Ipv4Address(0xC6120001), Port(443)};

Test(packet_layout, reads_the_opening_of_the_protocol) {
  const auto packet = PacketLayout::Decode(kSyn);
  cr_assert(packet.has_value());
  cr_assert(packet->caller == kCaller);
  cr_assert(packet->service == kService);
  cr_assert(packet->opens);
  cr_assert_not(packet->finishes);
  cr_assert_not(packet->resets);
  cr_assert_eq(packet->seq, 0x11223344U);
  cr_assert_eq(packet->ack, 0U);
  cr_assert_eq(packet->data_bytes, 0U);
  cr_assert(packet->token == WireToken(0));
}

Test(packet_layout, writes_the_reset_of_the_protocol) {
  const auto expected = Bytes{
      0x00, 0x00, 0x00, 0x00, 0x02, 0x00, 0x00, 0x00, 0x41, 0x9c, 0x01, 0x00,
      0x12, 0xc6, 0xbb, 0x01, 0x07, 0x00, 0x40, 0x64, 0x00, 0x00, 0x00, 0x00,
      0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};
  const auto reset = PacketLayout::EncodeReset({kCaller, kService, 0, {}});
  cr_assert(
      std::equal(reset.begin(), reset.end(), expected.begin(), expected.end()));
}

Test(packet_layout, token_is_the_only_change) {
  auto bytes = kSyn;
  PacketLayout::WriteToken(bytes, WireToken(0xA1B2C3D4));
  cr_assert(PacketLayout::Decode(bytes)->token == WireToken(0xA1B2C3D4));
  cr_assert(std::equal(kSyn.begin(), kSyn.end() - 4, bytes.begin()));
}

Test(packet_layout, endpoint_is_named_big_endian) {
  const auto prefix = PacketLayout::PrefixOf(EndpointId(0x7f3a91c2));
  const auto expected =
      PacketLayout::Prefix{0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2};
  cr_assert(prefix == expected);
}

Test(packet_layout, resets_go_to_the_packet_port_of_callers) {
  const auto local = SocketAddress{Ipv4Address(1), Port(8172)};
  const auto to =
      PacketLayout::ResetDestination({kCaller, kService, 0, {}}, local);
  cr_assert(to == (SocketAddress{kCaller.ip, Port(8172)}));
}

Test(packet_layout, refuses_datagrams_of_another_length) {
  auto bytes = kSyn;
  bytes.push_back(0);
  cr_assert_not(PacketLayout::Decode(bytes).has_value());
  for (auto length = std::size_t{0}; length < kSyn.size(); ++length) {
    const auto cut = std::span(kSyn).first(length);
    cr_assert_not(PacketLayout::Decode(cut).has_value());
  }
}

}  // namespace
}  // namespace hemlockwick::platform
