#include "packet.h"

#include <algorithm>

namespace review {

namespace {

constexpr std::size_t kHeadBytes = 34;
constexpr std::uint32_t kSyn = 128;
constexpr std::uint32_t kAck = 4;
constexpr std::uint32_t kFin = 32;
constexpr std::uint32_t kRst = 2;

void Put(std::string& bytes, std::uint64_t value, std::size_t count) {
  for (auto index = std::size_t{0}; index < count; ++index) {
    bytes.push_back(static_cast<char>(value >> (8 * index)));
  }
}

auto Take(std::string_view& bytes, std::size_t count) -> std::uint32_t {
  auto value = std::uint32_t{0};
  for (auto index = std::size_t{0}; index < count; ++index) {
    const auto byte = static_cast<unsigned char>(bytes[index]);
    value |= static_cast<std::uint32_t>(byte) << (8 * index);
  }
  bytes.remove_prefix(count);
  return value;
}

auto FlagsOf(const Packet& packet) -> std::uint32_t {
  return (packet.syn ? kSyn : 0) | (packet.ack_flag ? kAck : 0) |
         (packet.fin ? kFin : 0) | (packet.rst ? kRst : 0);
}

auto SumOf(const Packet& packet) -> std::uint32_t {
  auto text = std::string();
  Put(text, FlagsOf(packet), 1);
  Put(text, packet.from.ip, 4);
  Put(text, packet.from.port, 2);
  Put(text, packet.to.ip, 4);
  Put(text, packet.to.port, 2);
  Put(text, packet.seq, 4);
  Put(text, packet.ack, 4);
  text += packet.data;
  auto sum = std::uint32_t{2166136261U};
  for (const auto letter : text) {
    sum = (sum ^ static_cast<unsigned char>(letter)) * 16777619U;
  }
  return std::max(sum, 1U);
}

}  // namespace

auto ToText(Ip ip) -> std::string {
  return std::to_string(ip >> 24) + "." + std::to_string((ip >> 16) & 255) +
         "." + std::to_string((ip >> 8) & 255) + "." + std::to_string(ip & 255);
}

auto ToText(const Address& address) -> std::string {
  return ToText(address.ip) + ":" + std::to_string(address.port);
}

auto Encode(const Packet& packet) -> std::string {
  auto bytes = std::string();
  Put(bytes, SumOf(packet), 4);
  Put(bytes, FlagsOf(packet), 1);
  Put(bytes, 0, 3);
  Put(bytes, packet.to.port, 2);
  Put(bytes, packet.from.ip, 4);
  Put(bytes, packet.from.port, 2);
  Put(bytes, packet.to.ip, 4);
  Put(bytes, packet.data.size(), 2);
  Put(bytes, packet.seq, 4);
  Put(bytes, packet.ack, 4);
  Put(bytes, packet.echo, 4);
  return bytes + packet.data;
}

auto Decode(std::string_view bytes) -> std::optional<Packet> {
  if (bytes.size() < kHeadBytes) {
    return std::nullopt;
  }
  auto packet = Packet();
  packet.sum = Take(bytes, 4);
  const auto flags = Take(bytes, 1);
  packet.syn = (flags & kSyn) != 0;
  packet.ack_flag = (flags & kAck) != 0;
  packet.fin = (flags & kFin) != 0;
  packet.rst = (flags & kRst) != 0;
  Take(bytes, 3);
  packet.to.port = static_cast<std::uint16_t>(Take(bytes, 2));
  packet.from.ip = Take(bytes, 4);
  packet.from.port = static_cast<std::uint16_t>(Take(bytes, 2));
  packet.to.ip = Take(bytes, 4);
  const auto length = Take(bytes, 2);
  packet.seq = Take(bytes, 4);
  packet.ack = Take(bytes, 4);
  packet.echo = Take(bytes, 4);
  if (bytes.size() != length) {
    return std::nullopt;
  }
  packet.data = std::string(bytes);
  return packet;
}

auto IsIntact(const Packet& packet) -> bool {
  return packet.sum == SumOf(packet);
}

}  // namespace review
