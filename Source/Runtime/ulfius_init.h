#ifndef HEMLOCKWICK_RUNTIME_ULFIUS_INIT_H_
#define HEMLOCKWICK_RUNTIME_ULFIUS_INIT_H_

namespace hemlockwick {

// Initialises ulfius for the lifetime of the process. Any thread may call it,
// any number of times.
void InitUlfiusOnce();

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_ULFIUS_INIT_H_
