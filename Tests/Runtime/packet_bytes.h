#ifndef HEMLOCKWICK_TESTS_RUNTIME_PACKET_BYTES_H_
#define HEMLOCKWICK_TESTS_RUNTIME_PACKET_BYTES_H_

#include <cstdint>
#include <vector>

// Builds GUE datagrams byte by byte, independently of the codec.

namespace hemlockwick {

using ByteVector = std::vector<std::uint8_t>;

inline constexpr std::uint8_t kTcpProtocol = 6;
inline constexpr std::uint8_t kUdpProtocol = 17;
inline constexpr std::uint8_t kSynFlag = 0x02;

// An IPv4 packet from 10.1.2.3:4660 to 10.9.8.7:443 with an empty TCP segment.
inline auto TcpPacket(std::uint8_t flags) -> ByteVector {
  return {0x45, 0,    0,    40,    0, 1, 0x40, 0, 64, kTcpProtocol,
          0,    0,    10,   1,     2, 3, 10,   9, 8,  7,
          0x12, 0x34, 0x01, 0xBB,  0, 0, 0,    1, 0,  0,
          0,    0,    0x50, flags, 0, 0, 0,    0, 0,  0};
}

// An IPv4 packet from 10.1.2.3:4660 to 10.9.8.7:443 with four bytes in UDP.
inline auto UdpPacket() -> ByteVector {
  return {0x45, 0,    0, 32, 0, 1,  0,   0,   64,  kUdpProtocol, 0,
          0,    10,   1, 2,  3, 10, 9,   8,   7,   0x12,         0x34,
          0x01, 0xBB, 0, 12, 0, 0,  'a', 'b', 'c', 'd'};
}

// A GUE header of variant 0 without options, followed by `inner`.
inline auto Encapsulate(const ByteVector& inner) -> ByteVector {
  auto datagram = ByteVector{0, 4, 0, 0};
  datagram.insert(datagram.end(), inner.begin(), inner.end());
  return datagram;
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_TESTS_RUNTIME_PACKET_BYTES_H_
