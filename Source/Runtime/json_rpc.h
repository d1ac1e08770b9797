#ifndef HEMLOCKWICK_RUNTIME_JSON_RPC_H_
#define HEMLOCKWICK_RUNTIME_JSON_RPC_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

// JSON-RPC 2.0 between instances, based on libjsonrpccpp. The library's headers
// require C++14, so this header and its source file keep to C++14, and the
// header exposes no type of the library.

namespace hemlockwick {

// A message of one plane ("fleet", "flow" or "request") with the sender's id
// and hybrid logical clock (HLC) stamp.
struct RpcEnvelope {
  std::string plane;
  std::uint64_t from = 0;
  std::int64_t stamp_millis = 0;
  std::uint32_t stamp_counter = 0;
  std::string body;
};

// Server of the method "deliver". Any thread may call Handle.
class RpcReceiver {
 public:
  // Returns whether the envelope was accepted.
  using Deliver = std::function<bool(const RpcEnvelope&)>;

  explicit RpcReceiver(Deliver deliver);
  ~RpcReceiver();
  RpcReceiver(const RpcReceiver&) = delete;
  auto operator=(const RpcReceiver&) -> RpcReceiver& = delete;

  // Handles a JSON-RPC request and returns the JSON-RPC response.
  auto Handle(const std::string& request) -> std::string;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Sends a request and stores the response. Returns false if the connection
// failed.
using RpcTransport =
    std::function<bool(const std::string& request, std::string& response)>;

// Calls "deliver" at a peer. Returns whether the peer accepted the envelope.
auto CallDeliver(const RpcTransport& transport, const RpcEnvelope& envelope)
    -> bool;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_JSON_RPC_H_
