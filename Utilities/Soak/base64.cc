#include "Soak/base64.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace hemlockwick::soak {

auto EncodeBase64(const std::string& bytes) -> std::string {
  namespace iterators = boost::archive::iterators;
  using Encoder = iterators::base64_from_binary<
      iterators::transform_width<std::string::const_iterator, 6, 8>>;
  auto text = std::string(Encoder(bytes.begin()), Encoder(bytes.end()));
  text.append((4 - text.size() % 4) % 4, '=');
  return text;
}

}  // namespace hemlockwick::soak
