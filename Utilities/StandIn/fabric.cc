#include "StandIn/fabric.h"

#include "Runtime/http_client.h"
#include "StandIn/await.h"

namespace hemlockwick {

namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(300);
constexpr Duration kCheckTimeout = std::chrono::seconds(1);
constexpr int kOk = 200;

auto IsReady(const SocketAddress& address) -> bool {
  auto request = HttpRequest();
  request.path = "/readyz";
  request.timeout = kCheckTimeout;
  return TryOr(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(response, SendHttp(address, request));
        return response.status == kOk;
      },
      [](const Error&) { return false; });
}

}  // namespace

Fabric::Fabric(const std::vector<FabricTarget>& targets,
               std::uint64_t random_seed)
    : random_(random_seed) {
  for (const auto& target : targets) {
    entries_.push_back({target, false});
  }
  for (auto index = std::size_t{0}; index < targets.size(); ++index) {
    checkers_.emplace_back(
        [this, index](const std::stop_token& stop) { Check(index, stop); });
  }
}

Fabric::~Fabric() {
  for (auto& checker : checkers_) {
    checker.request_stop();
  }
}

void Fabric::Check(std::size_t index, const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    const auto ready = IsReady(entries_[index].target.http);
    {
      const auto lock = std::lock_guard(mutex_);
      entries_[index].ready = ready;
    }
    Await([&stop] { return stop.stop_requested(); }, kCheckInterval);
  }
}

auto Fabric::Pick() -> std::optional<FabricTarget> {
  const auto lock = std::lock_guard(mutex_);
  auto ready = std::vector<FabricTarget>();
  for (const auto& entry : entries_) {
    if (entry.ready) {
      ready.push_back(entry.target);
    }
  }
  if (ready.empty()) {
    return std::nullopt;
  }
  return ready[random_.Below(ready.size())];
}

}  // namespace hemlockwick
