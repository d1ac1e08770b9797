#ifndef HEMLOCKWICK_RUNTIME_LOG_SINK_H_
#define HEMLOCKWICK_RUNTIME_LOG_SINK_H_

#include <spdlog/sinks/base_sink.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace hemlockwick {

// Buffers log lines and writes them to standard output in complete lines, a few
// kilobytes per system call. Never blocks on a slow reader: lines that do not
// fit into the buffer are dropped and counted.
class LogSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  // Number of lines dropped so far.
  [[nodiscard]] auto dropped() -> std::uint64_t;

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override;

 private:
  std::string buffer_;
  std::uint64_t dropped_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_LOG_SINK_H_
