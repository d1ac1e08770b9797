#include "Soak/store_stand_in.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "Runtime/socket.h"
#include "Soak/base64.h"

namespace hemlockwick::soak {

namespace {

using Json = nlohmann::json;

// Items in one answer; few, so that reads take several pages.
constexpr std::size_t kPageItems = 5;

constexpr std::size_t kMaxCopies = 10;

auto JsonReply(const Json& body) -> HttpReply {
  return {200, "application/json", body.dump()};
}

auto DecodePercent(const std::string& text) -> std::string {
  constexpr auto kHex = 16;
  auto bytes = std::string();
  for (auto at = std::size_t{0}; at < text.size(); ++at) {
    auto number = std::uint8_t{0};
    const auto* const digits = text.data() + at + 1;
    const auto is_escape =
        text[at] == '%' && at + 2 < text.size() &&
        std::from_chars(digits, digits + 2, number, kHex).ptr == digits + 2;
    bytes += is_escape ? static_cast<char>(number) : text[at];
    at += is_escape ? 2 : 0;
  }
  return bytes;
}

auto ParseTarget(const std::string& target)
    -> std::pair<std::string, std::map<std::string, std::string>> {
  auto query = std::map<std::string, std::string>();
  const auto mark = target.find('?');
  auto rest = mark == std::string::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const auto field = rest.substr(0, end);
    const auto equals = std::min(field.find('='), field.size());
    query[field.substr(0, equals)] =
        DecodePercent(field.substr(std::min(equals + 1, field.size())));
    rest.erase(0, std::min(end + 1, rest.size()));
  }
  return {target.substr(0, mark), std::move(query)};
}

auto TextOf(const std::map<std::string, std::string>& query,
            const std::string& name) -> std::string {
  const auto found = query.find(name);
  return found == query.end() ? "" : found->second;
}

auto NumberOf(const std::map<std::string, std::string>& query,
              const std::string& name) -> std::uint64_t {
  return std::strtoull(TextOf(query, name).c_str(), nullptr, 10);
}

}  // namespace

auto StoreStandIn::Start(boost::asio::io_context& context,
                         const SocketAddress& address)
    -> Result<std::unique_ptr<StoreStandIn>> {
  BOOST_LEAF_AUTO(socket, ListenTcp(address));
  auto store = std::unique_ptr<StoreStandIn>(new StoreStandIn(context));
  store->listener_ = std::make_unique<HttpListener>(
      context, std::move(socket),
      [store = store.get()](const std::string& target,
                            const HttpListener::Reply& reply) {
        store->Serve(target, reply);
      });
  return store;
}

void StoreStandIn::Put(const std::string& key, const std::string& value) {
  ++revision_;
  const auto item = Item{value, revision_};
  items_[key] = item;
  Add({key, item, false});
}

void StoreStandIn::Delete(const std::string& key) {
  if (items_.erase(key) > 0) {
    ++revision_;
    Add({key, {"", revision_}, true});
  }
}

void StoreStandIn::Compact() {
  compacted_ = revision_;
  history_.clear();
  CutWatches(410);
}

void StoreStandIn::CutWatches(int status) {
  for (auto& watch : std::exchange(watches_, {})) {
    watch.timer->cancel();
    watch.reply({status, "text/plain", ""});
  }
}

void StoreStandIn::Copy() {
  copies_.push_back({items_, revision_});
  if (copies_.size() > kMaxCopies) {
    copies_.pop_front();
  }
}

void StoreStandIn::Restore(std::size_t older) {
  while (older > 0 && copies_.size() > 1) {
    copies_.pop_back();
    --older;
  }
  items_ = copies_.back().items;
  revision_ = copies_.back().revision;
  while (!history_.empty() && history_.back().item.revision > revision_) {
    history_.pop_back();
  }
  compacted_ = std::min(compacted_, revision_);
  ++era_;
  CutWatches(503);
}

void StoreStandIn::Add(Event event) {
  history_.push_back(std::move(event));
  auto due = std::vector<std::uint64_t>();
  for (const auto& watch : watches_) {
    if (history_.back().key.starts_with(watch.prefix)) {
      due.push_back(watch.number);
    }
  }
  for (const auto number : due) {
    EndWatch(number);
  }
}

// A reply that tells the era at the time of the answer.
auto StoreStandIn::WithEra(HttpListener::Reply reply) const
    -> HttpListener::Reply {
  return [this, reply = std::move(reply)](HttpReply answer) {
    if (era_ > 0) {
      answer.headers.emplace_back("Store-Era", std::to_string(era_));
    }
    reply(std::move(answer));
  };
}

void StoreStandIn::Serve(const std::string& target,
                         const HttpListener::Reply& plain_reply) {
  const auto reply = WithEra(plain_reply);
  ++calls_;
  if (refusing_ || calls_ >= refuse_from_) {
    reply({503, "text/plain", ""});
    return;
  }
  const auto [path, query] = ParseTarget(target);
  if (path == "/hemlockwick/kv-range") {
    reply(Range(query));
  } else if (path == "/hemlockwick/kv-watch") {
    StartWatch(query, reply);
  } else {
    reply({404, "text/plain", ""});
  }
}

auto StoreStandIn::Range(const Query& query) const -> HttpReply {
  const auto prefix = TextOf(query, "prefix");
  const auto after = TextOf(query, "after");
  auto items = Json::array();
  auto has_more = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
      continue;
    }
    if (items.size() == kPageItems) {
      has_more = true;
      break;
    }
    items.push_back({{"key", key},
                     {"value", EncodeBase64(item.value)},
                     {"revision", item.revision}});
  }
  return JsonReply(
      {{"items", items}, {"hasMore", has_more}, {"currentRev", revision_}});
}

void StoreStandIn::StartWatch(const Query& query, HttpListener::Reply reply) {
  const auto after = NumberOf(query, "after");
  if (after < compacted_ || after > revision_) {
    reply({410, "text/plain", ""});
    return;
  }
  auto watch = Watch{next_watch_++, TextOf(query, "prefix"), after,
                     std::move(reply), nullptr};
  watch.timer = std::make_shared<boost::asio::steady_timer>(context_);
  const auto wait = std::chrono::milliseconds(NumberOf(query, "waitMs"));
  const auto has_events =
      EventsAfter(watch.prefix, after).find("\"key\"") != std::string::npos;
  watch.timer->expires_after(has_events ? std::chrono::milliseconds(0) : wait);
  watch.timer->async_wait(
      [this, number = watch.number](const boost::system::error_code& error) {
        if (!error) {
          EndWatch(number);
        }
      });
  watches_.push_back(std::move(watch));
}

void StoreStandIn::EndWatch(std::uint64_t number) {
  const auto found = std::ranges::find(watches_, number, &Watch::number);
  if (found == watches_.end()) {
    return;
  }
  const auto watch = *found;
  watches_.erase(found);
  watch.timer->cancel();
  watch.reply(
      {200, "application/json", EventsAfter(watch.prefix, watch.after)});
}

auto StoreStandIn::EventsAfter(const std::string& prefix,
                               std::uint64_t after) const -> std::string {
  auto events = Json::array();
  for (const auto& event : history_) {
    if (event.item.revision <= after || !event.key.starts_with(prefix)) {
      continue;
    }
    auto item = Json{{"key", event.key}, {"revision", event.item.revision}};
    if (event.deleted) {
      item["deleted"] = true;
    } else {
      item["value"] = EncodeBase64(event.item.value);
    }
    events.push_back(std::move(item));
  }
  return Json{{"events", events}, {"currentRev", revision_}}.dump();
}

}  // namespace hemlockwick::soak
