// Packets of a flow as clients and backends write them (PROTOCOL.md, Packets).
#ifndef REVIEW_STAND_IN_3_PACKET_H_
#define REVIEW_STAND_IN_3_PACKET_H_

#include <cstdint>
#include <optional>
#include <string>

namespace review {

// An address and a port in host byte order.
struct Address {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  friend auto operator<=>(const Address&, const Address&) = default;
};

inline auto IpText(std::uint32_t ip) -> std::string {
  return std::to_string(ip >> 24) + "." + std::to_string(ip >> 16 & 255) + "." +
         std::to_string(ip >> 8 & 255) + "." + std::to_string(ip & 255);
}

inline auto Text(const Address& address) -> std::string {
  return IpText(address.ip) + ":" + std::to_string(address.port);
}

inline auto Mix(std::uint64_t left, std::uint64_t right) -> std::uint64_t {
  auto word = left * 0x9E3779B97F4A7C15ULL ^ (right + 0x632BE59BD9B4E019ULL);
  word = (word ^ word >> 31) * 0xBF58476D1CE4E5B9ULL;
  return word ^ word >> 29;
}

struct Packet {
  static constexpr std::uint8_t kSyn = 128;
  static constexpr std::uint8_t kAck = 4;
  static constexpr std::uint8_t kFin = 32;
  static constexpr std::uint8_t kRst = 2;
  static constexpr std::uint8_t kBounced = 64;
  static constexpr std::size_t kHead = 34;

  std::uint32_t sum = 0;
  std::uint8_t flags = 0;
  Address src;
  Address dst;
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  std::uint32_t echo = 0;
  std::string data;

  [[nodiscard]] auto has(std::uint8_t flag) const -> bool {
    return (flags & flag) != 0;
  }

  // A keyed sum over all fields except echo, pad and BOUNCED; never 0.
  [[nodiscard]] auto Sum() const -> std::uint32_t {
    auto word = Mix(0x5EC2E7, static_cast<std::uint8_t>(flags & ~kBounced));
    word = Mix(word, std::uint64_t{src.ip} << 16 | src.port);
    word = Mix(word, std::uint64_t{dst.ip} << 16 | dst.port);
    word = Mix(word, std::uint64_t{seq} << 32 | ack);
    for (const auto byte : data) {
      word = Mix(word, static_cast<std::uint8_t>(byte));
    }
    const auto sum32 = static_cast<std::uint32_t>(word ^ word >> 32);
    return sum32 == 0 ? 1 : sum32;
  }

  [[nodiscard]] auto Encode() const -> std::string {
    auto text = std::string(kHead, '\0');
    const auto put = [&text](std::size_t at, std::uint32_t value, int bytes) {
      for (auto index = 0; index < bytes; ++index) {
        text[at + index] = static_cast<char>(value >> 8 * index);
      }
    };
    put(0, sum, 4);
    put(4, flags, 1);
    put(8, dst.port, 2);
    put(10, src.ip, 4);
    put(14, src.port, 2);
    put(16, dst.ip, 4);
    put(20, static_cast<std::uint32_t>(data.size()), 2);
    put(22, seq, 4);
    put(26, ack, 4);
    put(30, echo, 4);
    return text + data;
  }

  static auto Decode(const std::string& text) -> std::optional<Packet> {
    const auto get = [&text](std::size_t at, int bytes) {
      auto value = std::uint32_t{0};
      for (auto index = 0; index < bytes; ++index) {
        value |= std::uint32_t{static_cast<std::uint8_t>(text[at + index])}
                 << 8 * index;
      }
      return value;
    };
    if (text.size() < kHead || text.size() != kHead + get(20, 2)) {
      return std::nullopt;
    }
    auto packet = Packet();
    packet.sum = get(0, 4);
    packet.flags = static_cast<std::uint8_t>(get(4, 1));
    packet.dst.port = static_cast<std::uint16_t>(get(8, 2));
    packet.src.ip = get(10, 4);
    packet.src.port = static_cast<std::uint16_t>(get(14, 2));
    packet.dst.ip = get(16, 4);
    packet.seq = get(22, 4);
    packet.ack = get(26, 4);
    packet.echo = get(30, 4);
    packet.data = text.substr(kHead);
    return packet;
  }
};

}  // namespace review

#endif  // REVIEW_STAND_IN_3_PACKET_H_
