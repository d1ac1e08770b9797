#include "Edge/relay_clients.h"

namespace hemlockwick {

namespace {

constexpr Duration kIdleTime = std::chrono::seconds(10);

}  // namespace

auto RelayClients::At(const SocketAddress& relay, TimePoint now)
    -> RelayClient& {
  auto& entry = entries_[relay];
  if (entry.client == nullptr) {
    entry.client = std::make_unique<RelayClient>(context_, relay, clock_);
  }
  entry.used = now;
  return *entry.client;
}

void RelayClients::OnTick(TimePoint now) {
  std::erase_if(entries_, [now](const auto& entry) {
    return now - entry.second.used >= kIdleTime &&
           !entry.second.client->is_busy();
  });
}

}  // namespace hemlockwick
