// libFuzzer target for the object reader, the checks and the codec. Add inputs
// that fail to ObjectCorpus, which Tests/Fuzz/object_corpus_test.cc runs.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "Fuzz/object_input.h"

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int {
  const auto text = std::string(data, data + size);
  if (hemlockwick::RunObjectInput(text) ==
      hemlockwick::ObjectInputResult::kInconsistent) {
    std::abort();
  }
  return 0;
}
