#ifndef HEMLOCKWICK_RUNTIME_ULFIUS_HEADERS_H_
#define HEMLOCKWICK_RUNTIME_ULFIUS_HEADERS_H_

#include <map>
#include <string>

struct _u_map;  // NOLINT(bugprone-reserved-identifier): ulfius's own name

namespace hemlockwick {

// Converts the headers of ulfius to a map with names in lower case.
[[nodiscard]] auto ReadHeaders(const _u_map& headers)
    -> std::map<std::string, std::string>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_ULFIUS_HEADERS_H_
