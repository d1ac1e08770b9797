#ifndef HEMLOCKWICK_REVIEW_PACKET_H_
#define HEMLOCKWICK_REVIEW_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace review {

// An IPv4 address in host byte order.
using Ip = std::uint32_t;

struct Address {
  Ip ip = 0;
  std::uint16_t port = 0;

  friend auto operator<=>(const Address&, const Address&) = default;
};

[[nodiscard]] auto ToText(Ip ip) -> std::string;
[[nodiscard]] auto ToText(const Address& address) -> std::string;

// The two ends of a flow as the client names them.
struct FlowId {
  Address client;
  Address route;

  friend auto operator<=>(const FlowId&, const FlowId&) = default;
};

// A packet as PROTOCOL.md describes it.
struct Packet {
  Address from;
  Address to;
  bool syn = false;
  bool ack_flag = false;
  bool fin = false;
  bool rst = false;
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;  // In a SYN: number of earlier copies.
  std::uint32_t echo = 0;
  std::string data;
  std::uint32_t sum = 0;  // Zero only in a reset of the system.
};

[[nodiscard]] auto Encode(const Packet& packet) -> std::string;

// Empty when the length is wrong.
[[nodiscard]] auto Decode(std::string_view bytes) -> std::optional<Packet>;

// Whether the packet arrives as its sender wrote it, `echo` aside.
[[nodiscard]] auto IsIntact(const Packet& packet) -> bool;

}  // namespace review

#endif  // HEMLOCKWICK_REVIEW_PACKET_H_
