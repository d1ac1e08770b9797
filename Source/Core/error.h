#ifndef HEMLOCKWICK_CORE_ERROR_H_
#define HEMLOCKWICK_CORE_ERROR_H_

#include <boost/leaf.hpp>
#include <string>

namespace hemlockwick {

enum class ErrorCode {
  kInvalidArgument,  // The input is malformed or out of range.
  kNotFound,         // A file or object does not exist.
  kUnavailable,      // A peer or outside system did not answer.
  kAddressInUse,     // A listening address is already taken.
  kRefused,          // A check or limit turned the operation down.
  kInternal,         // A system call failed.
};

// An error with the way out, as shown to operators.
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

// Runs `attempt`, a function that returns Result<T>, and calls `on_error` with
// the Error when it fails. Both return T, or on_error returns Result<T>.
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
