#include "store.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

#include "net.h"

namespace review {

namespace {

// Time of an answer, from the site's sheet.
constexpr Seconds kAnswerTime = 0.004;
constexpr std::size_t kPageItems = 500;

auto Base64(const std::string& bytes) -> std::string {
  constexpr std::string_view kLetters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  auto text = std::string();
  for (auto at = std::size_t{0}; at < bytes.size(); at += 3) {
    const auto count = std::min<std::size_t>(3, bytes.size() - at);
    auto word = std::uint32_t{0};
    for (auto index = std::size_t{0}; index < 3; ++index) {
      word <<= 8;
      word |=
          index < count ? static_cast<unsigned char>(bytes[at + index]) : 0U;
    }
    for (auto index = std::size_t{0}; index < 4; ++index) {
      text.push_back(index <= count ? kLetters[(word >> (18 - 6 * index)) & 63]
                                    : '=');
    }
  }
  return text;
}

auto ParseQuery(const std::string& target)
    -> std::map<std::string, std::string> {
  auto query = std::map<std::string, std::string>();
  const auto mark = target.find('?');
  auto rest =
      mark == std::string::npos ? std::string() : target.substr(mark + 1);
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const auto field = rest.substr(0, end);
    const auto equals = std::min(field.find('='), field.size());
    query[field.substr(0, equals)] =
        field.substr(std::min(equals + 1, field.size()));
    rest.erase(0, std::min(end + 1, rest.size()));
  }
  return query;
}

auto NumberOf(const std::string& text) -> std::uint64_t {
  return std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

void Store::Listen(std::size_t machine, const Address& address) {
  const auto listener = ListenTcp(address);
  loop_.OnReadable(listener,
                   [this, listener, machine] { Accept(listener, machine); });
}

void Store::SetCutOff(std::size_t machine, bool is_cut_off) {
  cut_off_[machine] = is_cut_off;
  for (const auto& connection : connections_) {
    if (connection->machine == machine && is_cut_off) {
      connection->lost = true;
    }
  }
}

void Store::Put(const std::string& key, const std::string& value) {
  ++revision_;
  const auto item = Item{value, revision_};
  items_[key] = item;
  Add({key, item, false});
}

void Store::Delete(const std::string& key) {
  if (items_.erase(key) > 0) {
    ++revision_;
    Add({key, {"", revision_}, true});
  }
}

void Store::Add(Event event) {
  history_.push_back(std::move(event));
  auto due = std::vector<std::uint64_t>();
  for (const auto& watch : watches_) {
    if (HasEvents(watch)) {
      due.push_back(watch.number);
    }
  }
  for (const auto number : due) {
    EndWatch(number);
  }
}

void Store::Accept(int listener, std::size_t machine) {
  const auto fd =
      accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) {
    return;
  }
  const auto connection = std::make_shared<Connection>();
  connection->fd = fd;
  connection->machine = machine;
  connection->lost = cut_off_[machine];
  connections_.push_back(connection);
  loop_.OnReadable(fd, [this, connection] { Receive(connection); });
}

void Store::Receive(const ConnectionPtr& connection) {
  auto buffer = std::array<char, 4096>();
  const auto size = recv(connection->fd, buffer.data(), buffer.size(), 0);
  if (size <= 0) {
    loop_.Forget(connection->fd);
    close(connection->fd);
    connection->fd = -1;
    std::erase(connections_, connection);
    std::erase_if(watches_, [&](const auto& watch) {
      return watch.connection == connection;
    });
    return;
  }
  connection->input.append(buffer.data(), static_cast<std::size_t>(size));
  for (;;) {
    const auto end = connection->input.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    const auto line =
        connection->input.substr(0, connection->input.find("\r\n"));
    connection->input.erase(0, end + 4);
    const auto first = line.find(' ');
    const auto target = line.substr(first + 1, line.rfind(' ') - first - 1);
    if (!connection->lost) {
      loop_.After(kAnswerTime,
                  [this, connection, target] { Serve(connection, target); });
    }
  }
}

void Store::Serve(const ConnectionPtr& connection, const std::string& target) {
  const auto path = target.substr(0, target.find('?'));
  if (path == "/hemlockwick/kv-range") {
    Range(connection, ParseQuery(target));
  } else if (path == "/hemlockwick/kv-watch") {
    StartWatch(connection, ParseQuery(target));
  } else {
    Reply(connection, 404, "{}");
  }
}

void Store::Range(const ConnectionPtr& connection,
                  std::map<std::string, std::string> query) {
  auto items = std::string();
  auto count = std::size_t{0};
  auto has_more = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(query["prefix"]) ||
        (query.contains("after") && key <= query["after"])) {
      continue;
    }
    if (count == kPageItems) {
      has_more = true;
      break;
    }
    items += std::string(count++ == 0 ? "" : ",") + R"({"key":")" + key +
             R"(","value":")" + Base64(item.value) + R"(","revision":)" +
             std::to_string(item.revision) + R"(,"created":)" +
             std::to_string(item.revision) + R"(,"lease":0})";
  }
  Reply(connection, 200,
        R"({"items":[)" + items + R"(],"hasMore":)" +
            (has_more ? "true" : "false") + R"(,"currentRev":)" +
            std::to_string(revision_) + "}");
}

void Store::StartWatch(const ConnectionPtr& connection,
                       std::map<std::string, std::string> query) {
  const auto watch = Watch{next_watch_++, query["prefix"],
                           NumberOf(query["after"]), connection};
  watches_.push_back(watch);
  if (HasEvents(watch)) {
    EndWatch(watch.number);
    return;
  }
  loop_.After(static_cast<Seconds>(NumberOf(query["waitMs"])) / 1000,
              [this, number = watch.number] { EndWatch(number); });
}

auto Store::HasEvents(const Watch& watch) const -> bool {
  return std::ranges::any_of(history_, [&watch](const auto& event) {
    return event.item.revision > watch.after &&
           event.key.starts_with(watch.prefix);
  });
}

void Store::EndWatch(std::uint64_t number) {
  const auto found = std::ranges::find(watches_, number, &Watch::number);
  if (found == watches_.end()) {
    return;
  }
  const auto watch = *found;
  watches_.erase(found);
  auto events = std::string();
  for (const auto& event : history_) {
    if (event.item.revision <= watch.after ||
        !event.key.starts_with(watch.prefix)) {
      continue;
    }
    events += std::string(events.empty() ? "" : ",") + R"({"key":")" +
              event.key + R"(","revision":)" +
              std::to_string(event.item.revision);
    events += event.deleted
                  ? std::string(R"(,"deleted":true})")
                  : R"(,"value":")" + Base64(event.item.value) +
                        R"(","created":)" +
                        std::to_string(event.item.revision) + R"(,"lease":0})";
  }
  Reply(watch.connection, 200,
        R"({"events":[)" + events + R"(],"currentRev":)" +
            std::to_string(revision_) + "}");
}

void Store::Reply(const ConnectionPtr& connection, int status,
                  const std::string& body) {
  if (connection->fd < 0 || connection->lost) {
    return;
  }
  const auto text = "HTTP/1.1 " + std::to_string(status) +
                    " -\r\nContent-Type: application/json\r\n"
                    "Content-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body;
  send(connection->fd, text.data(), text.size(), MSG_NOSIGNAL);
}

}  // namespace review
