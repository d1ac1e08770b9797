// Stand-in of the platform's store: kv-range and kv-watch, read only for the
// system; the operator and the backends write through Put and Delete.
#ifndef REVIEW_STAND_IN_2_STORE_H_
#define REVIEW_STAND_IN_2_STORE_H_

#include <string>

#include "net.h"

namespace review {

inline auto Base64(const std::string& text) -> std::string {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  auto result = std::string();
  for (std::size_t at = 0; at < text.size(); at += 3) {
    auto word = 0U;
    for (std::size_t i = 0; i < 3; ++i) {
      const auto byte =
          at + i < text.size() ? static_cast<unsigned char>(text[at + i]) : 0;
      word = word << 8 | byte;
    }
    for (std::size_t i = 0; i < 4; ++i) {
      result += at + i > text.size() ? '=' : kDigits[word >> (18 - 6 * i) & 63];
    }
  }
  return result;
}

class Store {
 public:
  Store(Loop& loop, const Address& at)
      : loop_(loop), listener_(Bind(SOCK_STREAM, at)) {
    loop_.OnReadable(listener_, [this] { Accept(); });
  }

  void Put(const std::string& key, const std::string& value) {
    items_[key] = {value, ++revision_, false};
    Add(key);
  }

  void Delete(const std::string& key) {
    if (items_.erase(key) > 0) {
      history_.push_back({key, {"", ++revision_, true}});
      Wake();
    }
  }

  // While it is busy the store answers each call with 503.
  void SetBusy(bool busy) {
    busy_ = busy;
    if (busy) {
      for (const auto& [fd, watch] : std::map<int, Watch>(watches_)) {
        watches_.erase(fd);
        Reply(fd, 503, "");
      }
    }
  }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    bool deleted = false;
  };
  struct Watch {
    std::string prefix;
    std::uint64_t after = 0;
    std::uint64_t number = 0;
  };

  void Add(const std::string& key) {
    history_.push_back({key, items_.at(key)});
    Wake();
  }

  void Accept() {
    const auto fd = accept(listener_, nullptr, nullptr);
    if (fd < 0) {
      return;
    }
    NonBlocking(fd);
    const auto on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    loop_.OnReadable(fd, [this, fd] { Read(fd); });
  }

  void Close(int fd) {
    loop_.Forget(fd);
    buffers_.erase(fd);
    watches_.erase(fd);
    close(fd);
  }

  void Read(int fd) {
    char bytes[4096];
    const auto size = recv(fd, bytes, sizeof(bytes), 0);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
      return;
    }
    if (size <= 0) {
      Close(fd);
      return;
    }
    auto& buffer = buffers_[fd];
    buffer.append(bytes, static_cast<std::size_t>(size));
    const auto end = buffer.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    const auto line = buffer.substr(0, buffer.find("\r\n"));
    buffer.erase(0, end + 4);
    const auto from = line.find(' ') + 1;
    Serve(fd, line.substr(from, line.find(' ', from) - from));
  }

  static auto Field(const std::string& target, const std::string& name)
      -> std::string {
    auto at = target.find('?');
    while (at != std::string::npos) {
      const auto next = target.find('&', at + 1);
      const auto field = target.substr(at + 1, next - at - 1);
      if (field.rfind(name + "=", 0) == 0) {
        return Decode(field.substr(name.size() + 1));
      }
      at = next;
    }
    return "";
  }

  static auto Decode(const std::string& text) -> std::string {
    auto result = std::string();
    for (std::size_t at = 0; at < text.size(); ++at) {
      if (text[at] == '%' && at + 2 < text.size()) {
        result +=
            static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
        at += 2;
      } else {
        result += text[at];
      }
    }
    return result;
  }

  void Serve(int fd, const std::string& target) {
    if (busy_) {
      Reply(fd, 503, "");
      return;
    }
    const auto path = target.substr(0, target.find('?'));
    const auto prefix = Field(target, "prefix");
    if (path == "/hemlockwick/kv-range") {
      Reply(fd, 200, Range(prefix, Field(target, "after")));
    } else if (path == "/hemlockwick/kv-watch") {
      const auto after =
          std::strtoull(Field(target, "after").c_str(), nullptr, 10);
      const auto wait = std::strtod(Field(target, "waitMs").c_str(), nullptr);
      const auto number = ++numbers_;
      watches_[fd] = {prefix, after, number};
      if (HasEvents(watches_[fd]) || wait <= 0) {
        Answer(fd);
      } else {
        loop_.After(wait, [this, fd, number] {
          const auto found = watches_.find(fd);
          if (found != watches_.end() && found->second.number == number) {
            Answer(fd);
          }
        });
      }
    } else {
      Reply(fd, 404, "");
    }
  }

  auto Range(const std::string& prefix, const std::string& after) const
      -> std::string {
    auto list = std::string();
    auto count = 0;
    auto more = false;
    for (const auto& [key, item] : items_) {
      if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after)) {
        continue;
      }
      if (++count > 500) {
        more = true;
        break;
      }
      list += (list.empty() ? "" : ",") + ItemText(key, item);
    }
    return "{\"items\":[" + list +
           "],\"hasMore\":" + (more ? "true" : "false") +
           ",\"currentRev\":" + std::to_string(revision_) + "}";
  }

  static auto ItemText(const std::string& key, const Item& item)
      -> std::string {
    const auto revision = std::to_string(item.revision);
    if (item.deleted) {
      return "{\"key\":\"" + key + "\",\"revision\":" + revision +
             ",\"deleted\":true}";
    }
    return "{\"key\":\"" + key + "\",\"value\":\"" + Base64(item.value) +
           "\",\"revision\":" + revision + ",\"created\":" + revision +
           ",\"lease\":0}";
  }

  [[nodiscard]] auto HasEvents(const Watch& watch) const -> bool {
    return !history_.empty() && history_.back().second.revision > watch.after;
  }

  void Wake() {
    for (const auto& [fd, watch] : std::map<int, Watch>(watches_)) {
      Answer(fd);
    }
  }

  void Answer(int fd) {
    const auto watch = watches_.at(fd);
    watches_.erase(fd);
    auto list = std::string();
    for (const auto& [key, item] : history_) {
      if (item.revision > watch.after && key.rfind(watch.prefix, 0) == 0) {
        list += (list.empty() ? "" : ",") + ItemText(key, item);
      }
    }
    Reply(fd, 200,
          "{\"events\":[" + list +
              "],\"currentRev\":" + std::to_string(revision_) + "}");
  }

  void Reply(int fd, int status, const std::string& body) {
    const auto text = "HTTP/1.1 " + std::to_string(status) +
                      " x\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body;
    auto sent = std::size_t{0};
    while (sent < text.size()) {
      const auto more =
          send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (more < 0 && errno == EAGAIN) {
        usleep(200);
        continue;
      }
      if (more <= 0) {
        return;  // Its end is read next.
      }
      sent += static_cast<std::size_t>(more);
    }
  }

  Loop& loop_;
  const int listener_;
  bool busy_ = false;
  std::uint64_t revision_ = 1;
  std::uint64_t numbers_ = 0;
  std::map<std::string, Item> items_;
  std::vector<std::pair<std::string, Item>> history_;
  std::map<int, std::string> buffers_;
  std::map<int, Watch> watches_;
};

}  // namespace review

#endif  // REVIEW_STAND_IN_2_STORE_H_
