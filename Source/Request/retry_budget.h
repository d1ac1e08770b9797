#ifndef HEMLOCKWICK_REQUEST_RETRY_BUDGET_H_
#define HEMLOCKWICK_REQUEST_RETRY_BUDGET_H_

#include <algorithm>

namespace hemlockwick {

// Token bucket that limits retries to `ratio` of the first attempts and saves
// up at most `burst` of them.
class RetryBudget {
 public:
  RetryBudget(double ratio, double burst) : ratio_(ratio), burst_(burst) {}

  // Adds the share of a retry that a first attempt earns.
  void OnFirstAttempt() { tokens_ = std::min(tokens_ + ratio_, burst_); }

  // Takes one retry. Returns false if the budget is spent.
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
