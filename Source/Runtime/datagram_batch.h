#ifndef HEMLOCKWICK_RUNTIME_DATAGRAM_BATCH_H_
#define HEMLOCKWICK_RUNTIME_DATAGRAM_BATCH_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

#include "Core/net_address.h"
#include "Runtime/file_descriptor.h"

namespace hemlockwick {

// Datagrams received and sent by one system call each.
class DatagramBatch {
 public:
  // Bytes that may be put in front of a datagram that is sent on.
  static constexpr std::size_t kMaxHeaderBytes = 64;

  // Room for `capacity` datagrams; longer ones than `max_bytes` are truncated.
  DatagramBatch(std::size_t capacity, std::size_t max_bytes);
  ~DatagramBatch();
  DatagramBatch(const DatagramBatch&) = delete;
  auto operator=(const DatagramBatch&) -> DatagramBatch& = delete;

  // Waits for a first datagram as long as the socket's receive timeout says,
  // and takes what else has arrived. Returns the number of datagrams.
  auto Receive(const FileDescriptor& socket) -> std::size_t;

  [[nodiscard]] auto capacity() const -> std::size_t { return capacity_; }
  [[nodiscard]] auto datagram(std::size_t index) -> std::span<std::uint8_t>;
  [[nodiscard]] auto is_truncated(std::size_t index) const -> bool;

  // Queues `header`, which is copied, and `body`, which has to stay as it is
  // until Flush. At most `capacity` datagrams may be queued.
  void Queue(std::span<const std::uint8_t> header,
             std::span<const std::uint8_t> body,
             const SocketAddress& destination);

  [[nodiscard]] auto queued() const -> std::size_t { return queued_; }

  // Sends all that is queued; returns how many datagrams the kernel refused.
  auto Flush(const FileDescriptor& socket) -> std::size_t;

 private:
  struct Buffers;

  const std::size_t capacity_;
  const std::size_t max_bytes_;
  const std::unique_ptr<Buffers> buffers_;
  std::size_t queued_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_DATAGRAM_BATCH_H_
