#ifndef HEMLOCKWICK_CORE_ERROR_H_
#define HEMLOCKWICK_CORE_ERROR_H_

#include <boost/leaf.hpp>
#include <string>

namespace hemlockwick {

enum class ErrorCode {
  kInvalidArgument,  // The input is malformed or out of range.
  kNotFound,         // A file or object does not exist.
  kUnavailable,      // A peer or external system did not answer.
  kAddressInUse,     // The listening address is already in use.
  kRefused,          // A check or limit rejected the operation.
  kInternal,         // A system call failed.
};

// An error as shown to operators, with a remedy: what to do about it.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;
  std::string remedy;
};

// Outcome of a function that can fail; errors carry an Error object.
template <typename T>
using Result = boost::leaf::result<T>;

// Returns a new error that carries `Error{code, message, remedy}`.
[[nodiscard]] auto Fail(ErrorCode code, std::string message,
                        std::string remedy = {}) -> boost::leaf::error_id;

// Runs `attempt`, which returns Result<T>, and returns its value. When it
// fails, returns what `on_error` returns for the Error, also a T.
template <typename Attempt, typename OnError>
auto TryOr(Attempt&& attempt, OnError&& on_error) {
  return boost::leaf::try_handle_all(
      std::forward<Attempt>(attempt),
      [&on_error](const Error& error) { return on_error(error); },
      [&on_error] {
        return on_error(Error{ErrorCode::kInternal, "unknown error", {}});
      });
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CORE_ERROR_H_
