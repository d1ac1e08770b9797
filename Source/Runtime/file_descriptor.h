#ifndef HEMLOCKWICK_RUNTIME_FILE_DESCRIPTOR_H_
#define HEMLOCKWICK_RUNTIME_FILE_DESCRIPTOR_H_

#include <unistd.h>

#include <utility>

namespace hemlockwick {

// Owns a file descriptor and closes it.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int fd) : fd_(fd) {}
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(other.Release()) {}
  auto operator=(FileDescriptor&& other) noexcept -> FileDescriptor& {
    Reset(other.Release());
    return *this;
  }
  ~FileDescriptor() { Reset(kNone); }

  [[nodiscard]] auto get() const -> int { return fd_; }
  [[nodiscard]] auto valid() const -> bool { return fd_ != kNone; }

  // Gives up ownership.
  auto Release() -> int { return std::exchange(fd_, kNone); }

 private:
  static constexpr int kNone = -1;

  void Reset(int fd) {
    if (fd_ != kNone) {
      close(fd_);
    }
    fd_ = fd;
  }

  int fd_ = kNone;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_FILE_DESCRIPTOR_H_
