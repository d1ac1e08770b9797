#include "Soak/wire.h"

#include <algorithm>

#include "Core/hash.h"

namespace hemlockwick::soak {

namespace {

constexpr std::size_t kHeadBytes = 34;

void Put(Datagram& bytes, std::uint64_t value, std::size_t count) {
  for (auto index = std::size_t{0}; index < count; ++index) {
    bytes.push_back(static_cast<std::uint8_t>(value >> (8 * index)));
  }
}

// Reads fields one after the other, little-endian.
class Reader {
 public:
  explicit Reader(std::span<const std::uint8_t> bytes) : bytes_(bytes) {}

  auto Take(std::size_t count) -> std::uint32_t {
    auto value = std::uint32_t{0};
    for (auto index = std::size_t{0}; index < count; ++index) {
      value |= std::uint32_t{bytes_[index]} << (8 * index);
    }
    bytes_ = bytes_.subspan(count);
    return value;
  }

 private:
  std::span<const std::uint8_t> bytes_;
};

auto FlagsOf(const Packet& packet) -> std::uint8_t {
  return static_cast<std::uint8_t>(
      (packet.syn ? 128 : 0) | (packet.ack_flag ? 4 : 0) |
      (packet.fin ? 32 : 0) | (packet.rst ? 2 : 0));
}

auto SumOf(const Packet& packet) -> std::uint32_t {
  auto text = Datagram();
  Put(text, FlagsOf(packet), 1);
  Put(text, packet.from.ip.value(), 4);
  Put(text, packet.from.port.value(), 2);
  Put(text, packet.to.ip.value(), 4);
  Put(text, packet.to.port.value(), 2);
  Put(text, packet.seq, 4);
  Put(text, packet.ack, 4);
  const auto head = std::string(text.begin(), text.end());
  const auto sum = static_cast<std::uint32_t>(HashBytes(head + packet.data));
  return std::max(sum, 1U);
}

}  // namespace

auto Encode(const Packet& packet) -> Datagram {
  auto bytes = Datagram();
  Put(bytes, SumOf(packet), 4);
  Put(bytes, FlagsOf(packet), 1);
  Put(bytes, 0, 3);
  Put(bytes, packet.to.port.value(), 2);
  Put(bytes, packet.from.ip.value(), 4);
  Put(bytes, packet.from.port.value(), 2);
  Put(bytes, packet.to.ip.value(), 4);
  Put(bytes, packet.data.size(), 2);
  Put(bytes, packet.seq, 4);
  Put(bytes, packet.ack, 4);
  Put(bytes, packet.echo, 4);
  bytes.insert(bytes.end(), packet.data.begin(), packet.data.end());
  return bytes;
}

auto Decode(std::span<const std::uint8_t> bytes) -> std::optional<Packet> {
  if (bytes.size() < kHeadBytes) {
    return std::nullopt;
  }
  auto reader = Reader(bytes);
  auto packet = Packet();
  packet.sum = reader.Take(4);
  const auto flags = reader.Take(1);
  packet.syn = (flags & 128) != 0;
  packet.ack_flag = (flags & 4) != 0;
  packet.fin = (flags & 32) != 0;
  packet.rst = (flags & 2) != 0;
  reader.Take(3);
  packet.to.port = Port(static_cast<std::uint16_t>(reader.Take(2)));
  packet.from.ip = Ipv4Address(reader.Take(4));
  packet.from.port = Port(static_cast<std::uint16_t>(reader.Take(2)));
  packet.to.ip = Ipv4Address(reader.Take(4));
  const auto length = reader.Take(2);
  packet.seq = reader.Take(4);
  packet.ack = reader.Take(4);
  packet.echo = reader.Take(4);
  if (bytes.size() != kHeadBytes + length) {
    return std::nullopt;
  }
  packet.data.assign(bytes.begin() + kHeadBytes, bytes.end());
  return packet;
}

auto IsIntact(const Packet& packet) -> bool {
  return packet.sum == SumOf(packet);
}

}  // namespace hemlockwick::soak
