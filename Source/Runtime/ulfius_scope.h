#ifndef HEMLOCKWICK_RUNTIME_ULFIUS_SCOPE_H_
#define HEMLOCKWICK_RUNTIME_ULFIUS_SCOPE_H_

namespace hemlockwick {

// Initialises ulfius for the life of the process. Any thread may call it, any
// number of times.
void StartUlfiusOnce();

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_ULFIUS_SCOPE_H_
