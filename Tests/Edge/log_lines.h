#ifndef HEMLOCKWICK_EDGE_LOG_LINES_H_
#define HEMLOCKWICK_EDGE_LOG_LINES_H_

#include <criterion/criterion.h>
#include <stdlib.h>
#include <unistd.h>

#include <fstream>
#include <string>
#include <vector>

#include "Runtime/log.h"

namespace hemlockwick {

// Returns the lines that `write` logs. Redirects standard output to a file;
// Criterion runs each test in a process of its own.
template <typename Write>
auto LinesOf(Write write) -> std::vector<std::string> {
  auto name = std::string("/tmp/log_lines_XXXXXX");
  const auto file = mkstemp(name.data());
  cr_assert_geq(file, 0);
  dup2(file, STDOUT_FILENO);
  StartLog("test", LogLevel::kInfo);
  write();
  FlushLog();
  auto lines = std::vector<std::string>();
  auto in = std::ifstream(name);
  for (auto line = std::string(); std::getline(in, line);) {
    lines.push_back(line);
  }
  unlink(name.c_str());
  return lines;
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_LOG_LINES_H_
