#ifndef HEMLOCKWICK_REVIEW_STORE_H_
#define HEMLOCKWICK_REVIEW_STORE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "loop.h"
#include "packet.h"

namespace review {

// Stand-in for the platform's metadata store (PROTOCOL.md): reads by prefix and
// watches. Each machine reaches it at an address of its own, so that a single
// machine can be cut off from it.
class Store {
 public:
  explicit Store(Loop& loop) : loop_(loop) {}

  // Listens at the address by which machine `machine` reaches the store.
  void Listen(std::size_t machine, const Address& address);

  // While a machine is cut off, nothing passes between it and the store.
  void SetCutOff(std::size_t machine, bool is_cut_off);

  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);

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
  struct Connection {
    int fd = -1;
    std::size_t machine = 0;
    std::string input;
    bool lost = false;  // Was cut; nothing passes on it any more.
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  struct Watch {
    std::uint64_t number = 0;
    std::string prefix;
    std::uint64_t after = 0;
    ConnectionPtr connection;
  };

  void Accept(int listener, std::size_t machine);
  void Receive(const ConnectionPtr& connection);
  void Serve(const ConnectionPtr& connection, const std::string& target);
  void Range(const ConnectionPtr& connection,
             std::map<std::string, std::string> query);
  void StartWatch(const ConnectionPtr& connection,
                  std::map<std::string, std::string> query);
  void EndWatch(std::uint64_t number);
  void Add(Event event);
  [[nodiscard]] auto HasEvents(const Watch& watch) const -> bool;
  void Reply(const ConnectionPtr& connection, int status,
             const std::string& body);

  Loop& loop_;
  std::map<std::string, Item> items_;
  std::deque<Event> history_;
  std::vector<Watch> watches_;
  std::vector<ConnectionPtr> connections_;
  std::map<std::size_t, bool> cut_off_;
  std::uint64_t revision_ = 100;
  std::uint64_t next_watch_ = 1;
};

}  // namespace review

#endif  // HEMLOCKWICK_REVIEW_STORE_H_
