#ifndef HEMLOCKWICK_CORE_STRONG_ID_H_
#define HEMLOCKWICK_CORE_STRONG_ID_H_

#include <compare>
#include <cstdint>
#include <functional>

namespace hemlockwick {

// Integer wrapper that makes identifiers of different kinds distinct types.
// `Tag` is only declared, never defined.
template <typename Tag, typename Rep = std::uint64_t>
class StrongId {
 public:
  using RepType = Rep;

  constexpr StrongId() = default;
  explicit constexpr StrongId(Rep value) : value_(value) {}

  [[nodiscard]] constexpr auto value() const -> Rep { return value_; }

  friend constexpr auto operator<=>(const StrongId&, const StrongId&)
      -> std::strong_ordering = default;

 private:
  Rep value_ = 0;
};

}  // namespace hemlockwick

template <typename Tag, typename Rep>
struct std::hash<hemlockwick::StrongId<Tag, Rep>> {
  auto operator()(const hemlockwick::StrongId<Tag, Rep>& id) const noexcept
      -> std::size_t {
    return std::hash<Rep>{}(id.value());
  }
};

#endif  // HEMLOCKWICK_CORE_STRONG_ID_H_
