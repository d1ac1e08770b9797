#ifndef HEMLOCKWICK_SOAK_WIRE_H_
#define HEMLOCKWICK_SOAK_WIRE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "Core/net_address.h"

namespace hemlockwick::soak {

// A packet of a flow as callers and endpoints of the platform write it. Kept
// apart from platform/, so that a mistake there shows.
struct Packet {
  SocketAddress from;
  SocketAddress to;
  bool syn = false;
  bool ack_flag = false;
  bool fin = false;
  bool rst = false;
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;  // Of a first SYN: how many copies came before.
  std::uint32_t echo = 0;
  std::string data;
  // Zero marks a reset by the system; otherwise a sum over the packet.
  std::uint32_t sum = 0;
};

using Datagram = std::vector<std::uint8_t>;

// Encodes a packet with its sum.
[[nodiscard]] auto Encode(const Packet& packet) -> Datagram;

// Decodes a packet; nothing when its length is wrong.
[[nodiscard]] auto Decode(std::span<const std::uint8_t> bytes)
    -> std::optional<Packet>;

// Whether the packet is as its sender wrote it.
[[nodiscard]] auto IsIntact(const Packet& packet) -> bool;

}  // namespace hemlockwick::soak

#endif  // HEMLOCKWICK_SOAK_WIRE_H_
