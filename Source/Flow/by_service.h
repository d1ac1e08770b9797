#ifndef HEMLOCKWICK_FLOW_BY_SERVICE_H_
#define HEMLOCKWICK_FLOW_BY_SERVICE_H_

#include <cstddef>
#include <unordered_map>
#include <utility>

namespace hemlockwick {

// What has been observed of each service, or service address. Services come and
// go while a process runs, so everything is forgotten and learnt anew when
// there are too many.
template <typename Key, typename Value>
class ByService {
 public:
  static constexpr std::size_t kMaxServices = 1 << 16;

  // The value of the service, made from `arguments` if there is none.
  template <typename... Arguments>
  auto FindOrAdd(const Key& service, Arguments&&... arguments) -> Value& {
    if (values_.size() >= kMaxServices && !values_.contains(service)) {
      values_.clear();
    }
    return values_.try_emplace(service, std::forward<Arguments>(arguments)...)
        .first->second;
  }

  [[nodiscard]] auto size() const -> std::size_t { return values_.size(); }

 private:
  std::unordered_map<Key, Value> values_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_BY_SERVICE_H_
