#ifndef HEMLOCKWICK_RUNTIME_JSON_RPC_H_
#define HEMLOCKWICK_RUNTIME_JSON_RPC_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

// JSON-RPC 2.0 between instances by libjsonrpccpp. The library's headers need
// C++14, so this header and its source keep to it and show none of its types.

namespace hemlockwick {

// A message of one plane ("fleet", "flow" or "request") with the sender's id
// and hybrid logical clock stamp.
struct RpcEnvelope {
  std::string plane;
  std::uint64_t from = 0;
  std::int64_t stamp_millis = 0;
  std::uint32_t stamp_counter = 0;
  std::string body;
};

// Answers the method "deliver". Any thread may call Handle.
class RpcReceiver {
 public:
  // Returns whether the envelope was taken.
  using Deliver = std::function<bool(const RpcEnvelope&)>;

  explicit RpcReceiver(Deliver deliver);
  ~RpcReceiver();
  RpcReceiver(const RpcReceiver&) = delete;
  auto operator=(const RpcReceiver&) -> RpcReceiver& = delete;

  // Takes a JSON-RPC request and returns the JSON-RPC response.
  auto Handle(const std::string& request) -> std::string;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Sends the request text and stores the response text; false when the
// connection failed.
using RpcTransport =
    std::function<bool(const std::string& request, std::string& response)>;

// Calls "deliver" at a peer. Returns whether the peer took the envelope.
auto CallDeliver(const RpcTransport& transport, const RpcEnvelope& envelope)
    -> bool;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_JSON_RPC_H_
