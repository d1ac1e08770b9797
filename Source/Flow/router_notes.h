#ifndef HEMLOCKWICK_FLOW_ROUTER_NOTES_H_
#define HEMLOCKWICK_FLOW_ROUTER_NOTES_H_

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "Flow/token_types.h"

namespace hemlockwick {

// Notes until they are collected; bounded, and those beyond are counted.
class RouterNotes {
 public:
  void Add(const RouterNote& note) {
    constexpr std::size_t kMaxNotes = 512;
    if (notes_.size() >= kMaxNotes) {
      ++lost_;
      return;
    }
    notes_.push_back(note);
  }

  // Notes since the last call.
  [[nodiscard]] auto Take() -> std::vector<RouterNote> {
    return std::exchange(notes_, {});
  }

  // Notes that were not kept, in all.
  [[nodiscard]] auto lost() const -> std::uint64_t { return lost_; }

 private:
  std::vector<RouterNote> notes_;
  std::uint64_t lost_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_ROUTER_NOTES_H_
