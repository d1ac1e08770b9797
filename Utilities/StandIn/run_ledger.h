#ifndef HEMLOCKWICK_STANDIN_RUN_LEDGER_H_
#define HEMLOCKWICK_STANDIN_RUN_LEDGER_H_

#include <cstddef>
#include <map>
#include <mutex>
#include <string>

namespace hemlockwick {

// Counts how often each request was run, over all endpoints of a test.
class RunLedger {
 public:
  void Add(const std::string& key) {
    const auto lock = std::lock_guard(mutex_);
    ++runs_[key];
  }

  [[nodiscard]] auto RunsOf(const std::string& key) const -> std::size_t {
    const auto lock = std::lock_guard(mutex_);
    const auto found = runs_.find(key);
    return found == runs_.end() ? 0 : found->second;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::size_t> runs_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_STANDIN_RUN_LEDGER_H_
