#include "Runtime/platform_client.h"

#include <cstdlib>
#include <string>
#include <utility>

#include "Runtime/http_client.h"

namespace hemlockwick {

namespace {

constexpr std::size_t kThreads = 4;
constexpr std::size_t kMaxWaiting = 64;

// Time that an answer may take beyond the wait that the read asks for.
constexpr Duration kAnswerTimeout = std::chrono::seconds(2);

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;

auto PathOf(const PlatformRead& read) -> std::string {
  const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(read.wait);
  return "/v1/values/" + read.key + "?after=" + std::to_string(read.after) +
         "&wait_ms=" + std::to_string(wait.count());
}

auto StatusOf(const HttpResponse& response) -> PlatformStatus {
  switch (response.status) {
    case kOk:
      return PlatformStatus::kValue;
    case kNotModified:
      return PlatformStatus::kUnchanged;
    case kNotFound:
      return PlatformStatus::kMissing;
    default:
      return PlatformStatus::kUnreachable;
  }
}

auto IndexOf(const HttpResponse& response) -> std::uint64_t {
  const auto found = response.headers.find(kValueIndexHeader);
  return found == response.headers.end()
             ? 0
             : std::strtoull(found->second.c_str(), nullptr, 10);
}

}  // namespace

PlatformClient::PlatformClient(SocketAddress address, OnAnswer on_answer)
    : address_(address),
      on_answer_(std::move(on_answer)),
      pool_(kThreads, kMaxWaiting) {}

void PlatformClient::Read(const PlatformRead& read) {
  if (!pool_.TrySubmit([this, read] { on_answer_(Fetch(read)); })) {
    on_answer_({read.key, PlatformStatus::kUnreachable, 0, {}});
  }
}

auto PlatformClient::Fetch(const PlatformRead& read) const -> PlatformAnswer {
  auto request = HttpRequest();
  request.path = PathOf(read);
  request.timeout = read.wait + kAnswerTimeout;
  return TryOr(
      [&]() -> Result<PlatformAnswer> {
        BOOST_LEAF_AUTO(response, SendHttp(address_, request));
        return PlatformAnswer{read.key, StatusOf(response), IndexOf(response),
                              std::move(response.body)};
      },
      [&](const Error&) {
        return PlatformAnswer{read.key, PlatformStatus::kUnreachable, 0, {}};
      });
}

}  // namespace hemlockwick
