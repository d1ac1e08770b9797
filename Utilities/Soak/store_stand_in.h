#ifndef HEMLOCKWICK_SOAK_STORE_STAND_IN_H_
#define HEMLOCKWICK_SOAK_STORE_STAND_IN_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "Core/error.h"
#include "Edge/http_listener.h"

namespace hemlockwick::soak {

// Stands in for the platform's store: items that can be read by prefix and
// watched.
class StoreStandIn {
 public:
  // Fails with kAddressInUse.
  [[nodiscard]] static auto Start(boost::asio::io_context& context,
                                  const SocketAddress& address)
      -> Result<std::unique_ptr<StoreStandIn>>;

  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);

  // Forgets all history and cuts the watches that wait.
  void Compact();

  // Answers the watches that wait with `status`.
  void CutWatches(int status);

  // Keeps a copy of the present items, and of those before it the newest few.
  void Copy();
  [[nodiscard]] auto copies() const -> std::size_t { return copies_.size(); }

  // Comes back from a copy, the newest one or one that is `older` copies
  // older: what was written since is gone, its revisions are given out again,
  // and the era rises by one. Later copies are gone too.
  void Restore(std::size_t older = 0);

  // Every answer tells the era, unless it is 0.
  void SetEra(std::uint64_t era) { era_ = era; }

  // While refusing, every call is answered 503.
  void SetRefusing(bool refusing) {
    refusing_ = refusing;
    refuse_from_ = UINT64_MAX;
  }

  // Answers `calls` more calls and refuses those after them.
  void RefuseAfter(std::uint64_t calls) { refuse_from_ = calls_ + calls + 1; }

  [[nodiscard]] auto calls() const -> std::uint64_t { return calls_; }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
  };
  struct Event {
    std::string key;
    Item item;
    bool deleted = false;
  };
  struct Watch {
    std::uint64_t number = 0;
    std::string prefix;
    std::uint64_t after = 0;
    HttpListener::Reply reply;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };
  using Query = std::map<std::string, std::string>;

  struct Backup {
    std::map<std::string, Item> items;
    std::uint64_t revision = 0;
  };

  explicit StoreStandIn(boost::asio::io_context& context) : context_(context) {}
  void Serve(const std::string& target, const HttpListener::Reply& reply);
  [[nodiscard]] auto WithEra(HttpListener::Reply reply) const
      -> HttpListener::Reply;
  [[nodiscard]] auto Range(const Query& query) const -> HttpReply;
  void StartWatch(const Query& query, HttpListener::Reply reply);
  void EndWatch(std::uint64_t number);
  [[nodiscard]] auto EventsAfter(const std::string& prefix,
                                 std::uint64_t after) const -> std::string;
  void Add(Event event);

  boost::asio::io_context& context_;
  std::unique_ptr<HttpListener> listener_;
  std::map<std::string, Item> items_;
  std::deque<Event> history_;
  std::list<Watch> watches_;
  std::uint64_t revision_ = 100;
  std::uint64_t compacted_ = 0;
  std::uint64_t next_watch_ = 1;
  std::uint64_t calls_ = 0;
  std::uint64_t refuse_from_ = UINT64_MAX;
  bool refusing_ = false;
  std::deque<Backup> copies_;
  std::uint64_t era_ = 1;
};

}  // namespace hemlockwick::soak

#endif  // HEMLOCKWICK_SOAK_STORE_STAND_IN_H_
