#include "Runtime/datagram_batch.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <vector>

#include "Runtime/socket.h"

namespace hemlockwick {

struct DatagramBatch::Buffers {
  std::vector<std::uint8_t> bytes;
  std::vector<iovec> receive_parts;
  std::vector<mmsghdr> received;

  std::vector<std::array<std::uint8_t, kMaxHeaderBytes>> headers;
  std::vector<std::array<iovec, 2>> send_parts;
  std::vector<sockaddr_in> destinations;
  std::vector<mmsghdr> sending;

  Buffers(std::size_t capacity, std::size_t max_bytes)
      : bytes(capacity * max_bytes),
        receive_parts(capacity),
        received(capacity),
        headers(capacity),
        send_parts(capacity),
        destinations(capacity),
        sending(capacity) {
    for (auto index = std::size_t{0}; index < capacity; ++index) {
      receive_parts[index] = {bytes.data() + index * max_bytes, max_bytes};
      received[index].msg_hdr.msg_iov = &receive_parts[index];
      received[index].msg_hdr.msg_iovlen = 1;
      auto& message = sending[index].msg_hdr;
      message.msg_name = &destinations[index];
      message.msg_namelen = sizeof(sockaddr_in);
      message.msg_iov = send_parts[index].data();
      message.msg_iovlen = send_parts[index].size();
    }
  }
};

DatagramBatch::DatagramBatch(std::size_t capacity, std::size_t max_bytes)
    : capacity_(capacity),
      max_bytes_(max_bytes),
      buffers_(std::make_unique<Buffers>(capacity, max_bytes)) {}

DatagramBatch::~DatagramBatch() = default;

auto DatagramBatch::Receive(const FileDescriptor& socket) -> std::size_t {
  const auto count =
      recvmmsg(socket.get(), buffers_->received.data(),
               static_cast<unsigned>(capacity_), MSG_WAITFORONE, nullptr);
  return count <= 0 ? 0 : static_cast<std::size_t>(count);
}

auto DatagramBatch::datagram(std::size_t index) -> std::span<std::uint8_t> {
  return {buffers_->bytes.data() + index * max_bytes_,
          buffers_->received[index].msg_len};
}

auto DatagramBatch::is_truncated(std::size_t index) const -> bool {
  return (buffers_->received[index].msg_hdr.msg_flags & MSG_TRUNC) != 0;
}

void DatagramBatch::Queue(std::span<const std::uint8_t> header,
                          std::span<const std::uint8_t> body,
                          const SocketAddress& destination) {
  const auto index = queued_++;
  auto& header_copy = buffers_->headers[index];
  std::ranges::copy(header, header_copy.begin());
  buffers_->send_parts[index][0] = {header_copy.data(), header.size()};
  // sendmmsg does not write to its buffers.
  buffers_->send_parts[index][1] = {const_cast<std::uint8_t*>(body.data()),
                                    body.size()};
  buffers_->destinations[index] = ToSockaddr(destination);
}

auto DatagramBatch::Flush(const FileDescriptor& socket) -> std::size_t {
  auto sent = std::size_t{0};
  auto failed = std::size_t{0};
  while (sent < queued_) {
    const auto count = sendmmsg(socket.get(), &buffers_->sending[sent],
                                static_cast<unsigned>(queued_ - sent), 0);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
    } else {
      // Skip the message that failed; the following ones may still be sent.
      ++failed;
      ++sent;
    }
  }
  queued_ = 0;
  return failed;
}

}  // namespace hemlockwick
