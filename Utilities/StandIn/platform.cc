#include "StandIn/platform.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include "Runtime/platform_client.h"
#include "Runtime/socket.h"
#include "StandIn/loopback.h"

namespace hemlockwick {

namespace {

constexpr auto kPrefix = std::string_view("/v1/values/");

// A watch looks for values that have become visible this often.
constexpr Duration kWatchInterval = std::chrono::milliseconds(50);

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

// Returns the number of a query parameter, 0 when it is absent.
auto Parameter(std::string_view path, std::string_view name) -> std::uint64_t {
  const auto found = path.find(std::string(name) + "=");
  auto number = std::uint64_t{0};
  if (found != std::string_view::npos) {
    const auto text = path.substr(found + name.size() + 1);
    std::from_chars(text.data(), text.data() + text.size(), number);
  }
  return number;
}

auto KeyOf(std::string_view path) -> std::string {
  const auto end = std::min(path.find('?'), path.size());
  return path.starts_with(kPrefix)
             ? std::string(path.substr(kPrefix.size(), end - kPrefix.size()))
             : std::string();
}

}  // namespace

auto PlatformStandIn::Start() -> Result<std::unique_ptr<PlatformStandIn>> {
  auto result = std::unique_ptr<PlatformStandIn>(new PlatformStandIn());
  BOOST_LEAF_AUTO(listener, ListenTcp(AnyLoopbackPort()));
  BOOST_LEAF_ASSIGN(result->server_,
                    HttpServer::Start(std::move(listener), {},
                                      [self = result.get()](const auto& call) {
                                        return self->Answer(call);
                                      }));
  return result;
}

PlatformStandIn::~PlatformStandIn() { SetAway(true); }

auto PlatformStandIn::address() const -> SocketAddress {
  return server_->address();
}

void PlatformStandIn::Change(auto&& change) {
  {
    const auto lock = std::lock_guard(mutex_);
    change();
  }
  changed_.notify_all();
}

void PlatformStandIn::Set(const std::string& key, std::string body) {
  Change([&] {
    const auto visible_from = stale_ ? TimePoint::max() : clock_.Now() + lag_;
    values_[key].push_back({++last_index_, visible_from, std::move(body)});
  });
}

void PlatformStandIn::SetLag(Duration lag) {
  Change([&] { lag_ = lag; });
}

void PlatformStandIn::SetStale(bool stale) {
  Change([&] {
    stale_ = stale;
    for (auto& [key, versions] : values_) {
      for (auto& value : versions) {
        value.visible_from = stale ? value.visible_from
                                   : std::min(value.visible_from, clock_.Now());
      }
    }
  });
}

void PlatformStandIn::RollBack(const std::string& key) {
  Change([&] {
    auto& versions = values_[key];
    if (!versions.empty()) {
      versions.pop_back();
    }
  });
}

void PlatformStandIn::SetAway(bool away) {
  Change([&] { away_ = away; });
}

auto PlatformStandIn::calls() const -> std::uint64_t {
  const auto lock = std::lock_guard(mutex_);
  return calls_;
}

auto PlatformStandIn::Visible(const std::string& key) const -> const Value* {
  const auto found = values_.find(key);
  if (found == values_.end()) {
    return nullptr;
  }
  const auto now = clock_.Now();
  const auto visible = std::find_if(
      found->second.rbegin(), found->second.rend(),
      [now](const Value& value) { return value.visible_from <= now; });
  return visible == found->second.rend() ? nullptr : &*visible;
}

auto PlatformStandIn::Answer(const HttpCall& call) -> HttpResponse {
  const auto& path = call.request.path;
  const auto key = KeyOf(path);
  const auto after = Parameter(path, "after");
  const auto latest =
      clock_.Now() + std::chrono::milliseconds(Parameter(path, "wait_ms"));
  auto lock = std::unique_lock(mutex_);
  ++calls_;
  const auto* value = Visible(key);
  while (!away_ && clock_.Now() < latest &&
         (value == nullptr || value->index <= after)) {
    changed_.wait_for(lock, kWatchInterval);
    value = Visible(key);
  }
  if (away_) {
    return {kUnavailable, {}, {}};
  }
  if (value == nullptr) {
    return {kNotFound, {}, {}};
  }
  if (after != 0 && value->index == after) {
    return {kNotModified, {}, {}};
  }
  return {
      kOk, {{kValueIndexHeader, std::to_string(value->index)}}, value->body};
}

}  // namespace hemlockwick
