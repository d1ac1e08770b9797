// Stress test of the log: several threads write lines into a pipe whose reader
// is slow at first, while another thread changes the log level. Exits with 1 if
// a line is incomplete or mixed with another, lost without being counted as
// dropped, or out of order.
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "Runtime/file_descriptor.h"
#include "Runtime/log.h"

namespace hemlockwick {

namespace {

constexpr auto kWriters = 3;
constexpr auto kLines = 5'000;
constexpr auto kReaderPause = std::chrono::milliseconds(200);
// Flushes after the last line. Enough to write twice what the log and the pipe
// can hold.
constexpr auto kLastFlushes = 5;
constexpr auto kFlushInterval = std::chrono::milliseconds(1);

// Reads a pipe to its end, after a pause in which it fills up.
auto ReadAll(const FileDescriptor& pipe) -> std::string {
  std::this_thread::sleep_for(kReaderPause);
  auto text = std::string();
  auto buffer = std::array<char, 4096>();
  for (;;) {
    const auto count = read(pipe.get(), buffer.data(), buffer.size());
    if (count <= 0) {
      return text;
    }
    text.append(buffer.data(), static_cast<std::size_t>(count));
  }
}

void WriteLines(int writer) {
  for (auto number = 0; number < kLines; ++number) {
    LogBuffered(LogLevel::kInfo, "line",
                {{"writer", std::to_string(writer)},
                 {"number", std::to_string(number)}});
  }
}

// Writes all lines while the log level changes between two levels that both
// include them.
void WriteFromAllThreads() {
  auto done = std::atomic<bool>(false);
  const auto changer = std::jthread([&done] {
    while (!done) {
      SetLogLevel(LogLevel::kDebug);
      FlushLog();
      SetLogLevel(LogLevel::kInfo);
      std::this_thread::sleep_for(kFlushInterval);
    }
  });
  {
    auto writers = std::vector<std::jthread>();
    for (auto writer = 0; writer < kWriters; ++writer) {
      writers.emplace_back(WriteLines, writer);
    }
  }
  done = true;
}

// Returns whether every line is complete and the lines of each writer are in
// order. Adds the number of lines to `count`.
auto CheckLines(const std::string& text, std::uint64_t& count) -> bool {
  auto next = std::map<std::string, int>();
  auto lines = std::istringstream(text);
  for (auto line = std::string(); std::getline(lines, line); ++count) {
    const auto json = nlohmann::json::parse(line, nullptr, false);
    if (json.is_discarded() || json.value("message", "") != "line") {
      std::cerr << "torn: " << line << "\n";
      return false;
    }
    auto& expected = next[json.value("writer", "")];
    const auto number = std::atoi(json.value("number", "").c_str());
    if (number < expected) {
      std::cerr << "out of order: " << line << "\n";
      return false;
    }
    expected = number + 1;
  }
  return true;
}

auto Run() -> bool {
  auto ends = std::array<int, 2>();
  if (pipe(ends.data()) != 0) {
    return false;
  }
  const auto input = FileDescriptor(ends[0]);
  dup2(ends[1], STDOUT_FILENO);
  close(ends[1]);
  StartLog("stress", LogLevel::kInfo);
  auto text = std::string();
  {
    const auto reader =
        std::jthread([&text, &input] { text = ReadAll(input); });
    WriteFromAllThreads();
    // A flush writes only as much as fits into the pipe without blocking.
    for (auto flush = 0; flush < kLastFlushes; ++flush) {
      std::this_thread::sleep_for(kReaderPause);
      FlushLog();
    }
    close(STDOUT_FILENO);
  }
  auto count = std::uint64_t{0};
  const auto whole = CheckLines(text, count);
  const auto all = std::uint64_t{kWriters} * kLines;
  if (count + DroppedLogLines() != all) {
    std::cerr << count << " read and " << DroppedLogLines() << " dropped of "
              << all << "\n";
    return false;
  }
  return whole && count > 0;
}

}  // namespace

}  // namespace hemlockwick

auto main() -> int {
  const auto passed = hemlockwick::Run();
  std::cerr << "log: " << (passed ? "passed" : "FAILED") << "\n";
  return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
