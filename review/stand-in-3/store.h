// The platform's metadata store (PROTOCOL.md, The platform's metadata store).
#ifndef REVIEW_STAND_IN_3_STORE_H_
#define REVIEW_STAND_IN_3_STORE_H_

#include <memory>
#include <set>

#include "loop.h"

namespace review {

class Store {
 public:
  Store(Loop& loop, const Address& address) : loop_(loop) {
    listener_ = ListenOn(address);
    loop_.OnReadable(listener_, [this] { Accept(); });
  }

  void Put(const std::string& key, const std::string& value) {
    ++revision_;
    auto& item = items_[key];
    if (item.created == 0) {
      item.created = revision_;
    }
    item.value = value;
    item.revision = revision_;
    events_.push_back({revision_, ItemText(key, item)});
    AnswerWatches(false);
  }

 private:
  static constexpr std::size_t kPageItems = 50;

  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct Event {
    std::uint64_t revision;
    std::string text;
  };
  struct Connection {
    int socket;
    std::string input;
    bool watching = false;
    std::uint64_t after = 0;
    std::int64_t until = 0;
  };
  using Query = std::map<std::string, std::string>;

  static auto Base64(const std::string& bytes) -> std::string {
    constexpr auto kDigits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    auto text = std::string();
    for (auto at = std::size_t{0}; at < bytes.size(); at += 3) {
      auto group = std::uint32_t{0};
      for (auto index = std::size_t{0}; index < 3; ++index) {
        const auto byte = at + index < bytes.size() ? bytes[at + index] : '\0';
        group = group << 8 | static_cast<std::uint8_t>(byte);
      }
      for (auto index = std::size_t{0}; index < 4; ++index) {
        const auto used = at + index <= bytes.size();
        text += used ? kDigits[group >> (18 - 6 * index) & 63] : '=';
      }
    }
    return text;
  }

  static auto ItemText(const std::string& key, const Item& item)
      -> std::string {
    return R"({"key":")" + key + R"(","value":")" + Base64(item.value) +
           R"(","revision":)" + std::to_string(item.revision) +
           R"(,"created":)" + std::to_string(item.created) + R"(,"lease":0})";
  }

  void Accept() {
    while (true) {
      const auto socket =
          accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (socket < 0) {
        return;
      }
      const auto connection =
          std::make_shared<Connection>(Connection{socket, {}});
      connections_.insert(connection);
      loop_.OnReadable(socket, [this, connection] { Read(connection); });
    }
  }

  void Close(const std::shared_ptr<Connection>& connection) {
    loop_.Forget(connection->socket);
    close(connection->socket);
    connections_.erase(connection);
  }

  void Read(const std::shared_ptr<Connection>& connection) {
    char buffer[4096];
    const auto size = read(connection->socket, buffer, sizeof(buffer));
    if (size <= 0) {
      Close(connection);
      return;
    }
    connection->input.append(buffer, static_cast<std::size_t>(size));
    const auto end = connection->input.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    const auto from = connection->input.find(' ') + 1;
    const auto target = connection->input.substr(
        from, connection->input.find(' ', from) - from);
    connection->input.erase(0, end + 4);
    Serve(connection, target);
  }

  static auto Plain(const std::string& text) -> std::string {
    auto plain = std::string();
    for (auto at = std::size_t{0}; at < text.size(); ++at) {
      if (text[at] == '%' && at + 2 < text.size()) {
        plain +=
            static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
        at += 2;
      } else {
        plain += text[at];
      }
    }
    return plain;
  }

  static auto QueryOf(const std::string& target) -> Query {
    auto query = Query();
    auto at = target.find('?');
    while (at != std::string::npos && at + 1 < target.size()) {
      const auto end = target.find('&', at + 1);
      const auto field = target.substr(at + 1, end - at - 1);
      const auto equals = field.find('=');
      query[field.substr(0, equals)] = Plain(field.substr(equals + 1));
      at = end;
    }
    return query;
  }

  void Serve(const std::shared_ptr<Connection>& connection,
             const std::string& target) {
    auto query = QueryOf(target);
    if (target.starts_with("/hemlockwick/kv-range")) {
      Reply(*connection, 200, Range(query));
    } else if (target.starts_with("/hemlockwick/kv-watch")) {
      connection->watching = true;
      connection->after = std::stoull(query["after"]);
      const auto wait = std::stoll(query["waitMs"]);
      connection->until = loop_.Now() + wait;
      AnswerWatches(false);
      loop_.After(wait, [this] { AnswerWatches(true); });
    } else {
      Reply(*connection, 404, "{}");
    }
  }

  auto Range(Query& query) -> std::string {
    auto text = std::string();
    auto count = std::size_t{0};
    auto has_more = false;
    for (const auto& [key, item] : items_) {
      if (!key.starts_with(query["prefix"]) ||
          (!query["after"].empty() && key <= query["after"])) {
        continue;
      }
      if (count == kPageItems) {
        has_more = true;
        break;
      }
      text += (count++ == 0 ? "" : ",") + ItemText(key, item);
    }
    return R"({"items":[)" + text + R"(],"hasMore":)" +
           (has_more ? "true" : "false") + R"(,"currentRev":)" +
           std::to_string(revision_) + "}";
  }

  void AnswerWatches(bool timed_out) {
    for (const auto& connection : connections_) {
      if (!connection->watching) {
        continue;
      }
      auto text = std::string();
      for (const auto& event : events_) {
        if (event.revision > connection->after) {
          text += (text.empty() ? "" : ",") + event.text;
        }
      }
      if (text.empty() && !(timed_out && loop_.Now() >= connection->until)) {
        continue;
      }
      connection->watching = false;
      Reply(*connection, 200,
            R"({"events":[)" + text + R"(],"currentRev":)" +
                std::to_string(revision_) + "}");
    }
  }

  static void Reply(const Connection& connection, int status,
                    const std::string& body) {
    const auto text = "HTTP/1.1 " + std::to_string(status) +
                      " -\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body;
    send(connection.socket, text.data(), text.size(), MSG_NOSIGNAL);
  }

  Loop& loop_;
  int listener_ = -1;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  std::uint64_t revision_ = 100;
  std::set<std::shared_ptr<Connection>> connections_;
};

}  // namespace review

#endif  // REVIEW_STAND_IN_3_STORE_H_
