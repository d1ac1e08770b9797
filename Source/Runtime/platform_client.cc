#include "Runtime/platform_client.h"

#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "Runtime/http_client.h"

namespace hemlockwick {

namespace {

// Maximum number of concurrent reads.
constexpr std::size_t kMaxReads = 32;

// Time that an answer may take in addition to the wait that the read requests.
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

auto Fetch(const SocketAddress& address, const PlatformRead& read)
    -> PlatformAnswer {
  auto request = HttpRequest();
  request.path = PathOf(read);
  request.timeout = read.wait + kAnswerTimeout;
  return TryOr(
      [&]() -> Result<PlatformAnswer> {
        BOOST_LEAF_AUTO(response, SendHttp(address, request));
        return PlatformAnswer{read.key, StatusOf(response), IndexOf(response),
                              std::move(response.body)};
      },
      [&](const Error&) {
        return PlatformAnswer{read.key, PlatformStatus::kUnreachable, 0, {}};
      });
}

}  // namespace

struct PlatformClient::SharedState {
  std::mutex mutex;
  OnAnswer on_answer;  // Empty once the client is destroyed.
  std::size_t reads = 0;

  auto Begin() -> bool {
    const auto lock = std::lock_guard(mutex);
    if (reads >= kMaxReads) {
      return false;
    }
    ++reads;
    return true;
  }

  void End(PlatformAnswer answer) {
    const auto lock = std::lock_guard(mutex);
    --reads;
    if (on_answer) {
      on_answer(std::move(answer));
    }
  }
};

PlatformClient::PlatformClient(SocketAddress address, OnAnswer on_answer)
    : address_(address), shared_(std::make_shared<SharedState>()) {
  shared_->on_answer = std::move(on_answer);
}

PlatformClient::~PlatformClient() {
  const auto lock = std::lock_guard(shared_->mutex);
  shared_->on_answer = nullptr;
}

void PlatformClient::Read(const PlatformRead& read) {
  if (!shared_->Begin()) {
    shared_->on_answer({read.key, PlatformStatus::kUnreachable, 0, {}});
    return;
  }
  std::thread([shared = shared_, address = address_, read] {
    shared->End(Fetch(address, read));
  }).detach();
}

}  // namespace hemlockwick
