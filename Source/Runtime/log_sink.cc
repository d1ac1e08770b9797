#include "Runtime/log_sink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace hemlockwick {

namespace {

// Maximum size of the text buffered for a slow reader, in bytes.
constexpr std::size_t kMaxBufferedBytes = 65'536;

// Returns whether PIPE_BUF bytes can be written to standard output without
// blocking.
auto IsOutputWritable() -> bool {
  auto output = pollfd{STDOUT_FILENO, POLLOUT, 0};
  return poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
}

// Returns the length of the complete lines at the start of `text` that fit into
// one write of PIPE_BUF bytes, or PIPE_BUF if the first line is longer.
auto WholeLinesLength(const std::string& text) -> std::size_t {
  if (text.size() <= PIPE_BUF) {
    return text.size();
  }
  const auto end = text.rfind('\n', PIPE_BUF - 1);
  return end == std::string::npos ? std::size_t{PIPE_BUF} : end + 1;
}

}  // namespace

auto LogSink::dropped() -> std::uint64_t {
  const auto lock = std::lock_guard(mutex_);
  return dropped_;
}

void LogSink::sink_it_(const spdlog::details::log_msg& message) {
  auto line = spdlog::memory_buf_t();
  formatter_->format(message, line);
  if (buffer_.size() + line.size() > kMaxBufferedBytes) {
    ++dropped_;
    return;
  }
  buffer_.append(line.data(), line.size());
  if (buffer_.size() >= PIPE_BUF) {
    flush_();
  }
}

void LogSink::flush_() {
  while (!buffer_.empty() && IsOutputWritable()) {
    const auto written =
        write(STDOUT_FILENO, buffer_.data(), WholeLinesLength(buffer_));
    if (written <= 0) {
      return;  // Kept for the next flush.
    }
    buffer_.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace hemlockwick
