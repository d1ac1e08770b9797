// libFuzzer target for the packet decoder. Add inputs that fail to GueCorpus
// and, as a test case, to Tests/Runtime/gue_codec_test.cc.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <variant>

#include "Runtime/gue_codec.h"

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int {
  const auto datagram = hemlockwick::Bytes(data, size);
  const auto decoded = hemlockwick::DecodeGue(datagram);
  const auto* const packet = std::get_if<hemlockwick::GuePacket>(&decoded);
  if (packet == nullptr) {
    return 0;
  }
  const auto inner = packet->inner;
  const auto within = inner.data() >= datagram.data() &&
                      inner.data() + inner.size() <= datagram.data() + size;
  if (!within) {
    std::abort();
  }
  return 0;
}
