#ifndef HEMLOCKWICK_REQUEST_RETRY_BUDGET_H_
#define HEMLOCKWICK_REQUEST_RETRY_BUDGET_H_

#include <algorithm>

namespace hemlockwick {

// Bounds extra attempts to a share of first attempts.
class RetryBudget {
 public:
  RetryBudget(double ratio, double burst) : ratio_(ratio), burst_(burst) {}

  // A first attempt earns its share.
  void OnFirstAttempt() { tokens_ = std::min(tokens_ + ratio_, burst_); }

  // Takes one extra attempt; false when the budget is spent.
  auto Spend() -> bool {
    if (!CanSpend()) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  [[nodiscard]] auto CanSpend() const -> bool { return tokens_ >= 1; }
  [[nodiscard]] auto tokens() const -> double { return tokens_; }
  void set_ratio(double ratio) { ratio_ = ratio; }

 private:
  double ratio_;
  double burst_;
  double tokens_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_RETRY_BUDGET_H_
