#ifndef HEMLOCKWICK_RUNTIME_DATAGRAM_BATCH_H_
#define HEMLOCKWICK_RUNTIME_DATAGRAM_BATCH_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

#include "Core/net_address.h"
#include "Runtime/file_descriptor.h"

namespace hemlockwick {

// Receives and sends datagrams in batches, with one system call per batch.
class DatagramBatch {
 public:
  // Maximum size of the header of a queued datagram, in bytes.
  static constexpr std::size_t kMaxHeaderBytes = 64;

  // Allocates buffers for `capacity` datagrams. Received datagrams longer than
  // `max_bytes` are truncated.
  DatagramBatch(std::size_t capacity, std::size_t max_bytes);
  ~DatagramBatch();
  DatagramBatch(const DatagramBatch&) = delete;
  auto operator=(const DatagramBatch&) -> DatagramBatch& = delete;

  // Waits for a first datagram up to the socket's receive timeout and receives
  // all others that have arrived, up to the capacity. Returns the number of
  // datagrams.
  auto Receive(const FileDescriptor& socket) -> std::size_t;

  [[nodiscard]] auto capacity() const -> std::size_t { return capacity_; }
  [[nodiscard]] auto datagram(std::size_t index) -> std::span<std::uint8_t>;
  [[nodiscard]] auto is_truncated(std::size_t index) const -> bool;

  // Queues a datagram. `header` is copied; `body` must remain valid and
  // unchanged until Flush. At most `capacity` datagrams may be queued.
  void Queue(std::span<const std::uint8_t> header,
             std::span<const std::uint8_t> body,
             const SocketAddress& destination);

  [[nodiscard]] auto queued() const -> std::size_t { return queued_; }

  // Sends all queued datagrams. Returns the number that the kernel refused.
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
