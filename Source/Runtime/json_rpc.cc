#include "Runtime/json_rpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

#include <utility>

namespace hemlockwick {

namespace {

constexpr const char* kDeliver = "deliver";

// Ids are encoded as decimal text, because they exceed the integers that JSON
// readers represent exactly.
auto ToJson(const RpcEnvelope& envelope) -> Json::Value {
  auto json = Json::Value(Json::objectValue);
  json["plane"] = envelope.plane;
  json["from"] = std::to_string(envelope.from);
  json["stamp"] = std::to_string(envelope.stamp_millis);
  json["counter"] = envelope.stamp_counter;
  json["body"] = envelope.body;
  return json;
}

auto FromJson(const Json::Value& json) -> RpcEnvelope {
  auto envelope = RpcEnvelope();
  envelope.plane = json["plane"].asString();
  envelope.from = std::stoull(json["from"].asString());
  envelope.stamp_millis = std::stoll(json["stamp"].asString());
  envelope.stamp_counter = json["counter"].asUInt();
  envelope.body = json["body"].asString();
  return envelope;
}

// A connector without a listener of its own: passes requests that HttpServer
// has received to the protocol handler.
class InProcessConnector : public jsonrpc::AbstractServerConnector {
 public:
  auto StartListening() -> bool override { return true; }
  auto StopListening() -> bool override { return true; }
  auto SendResponse(const std::string& response, void* target)
      -> bool override {
    *static_cast<std::string*>(target) = response;
    return true;
  }
};

class DeliverServer : public jsonrpc::AbstractServer<DeliverServer> {
 public:
  DeliverServer(InProcessConnector& connector, RpcReceiver::Deliver deliver)
      : AbstractServer(connector), deliver_(std::move(deliver)) {
    const auto procedure = jsonrpc::Procedure(
        kDeliver, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_BOOLEAN, "plane",
        jsonrpc::JSON_STRING, "from", jsonrpc::JSON_STRING, "stamp",
        jsonrpc::JSON_STRING, "counter", jsonrpc::JSON_INTEGER, "body",
        jsonrpc::JSON_STRING, nullptr);
    bindAndAddMethod(procedure, &DeliverServer::OnDeliver);
  }

 private:
  void OnDeliver(const Json::Value& input, Json::Value& output) {
    try {
      output = deliver_(FromJson(input));
    } catch (const std::logic_error&) {  // Malformed number.
      output = false;
    }
  }

  RpcReceiver::Deliver deliver_;
};

class TransportConnector : public jsonrpc::IClientConnector {
 public:
  explicit TransportConnector(const RpcTransport& transport)
      : transport_(transport) {}

  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    if (!transport_(message, result)) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR);
    }
  }

 private:
  const RpcTransport& transport_;
};

}  // namespace

class RpcReceiver::Impl {
 public:
  explicit Impl(Deliver deliver) : server_(connector_, std::move(deliver)) {}

  auto Handle(const std::string& request) -> std::string {
    auto response = std::string();
    connector_.OnRequest(request, &response);
    return response;
  }

 private:
  InProcessConnector connector_;
  DeliverServer server_;
};

RpcReceiver::RpcReceiver(Deliver deliver)
    : impl_(new Impl(std::move(deliver))) {}

RpcReceiver::~RpcReceiver() = default;

auto RpcReceiver::Handle(const std::string& request) -> std::string {
  return impl_->Handle(request);
}

auto CallDeliver(const RpcTransport& transport, const RpcEnvelope& envelope)
    -> bool {
  auto connector = TransportConnector(transport);
  jsonrpc::Client client(connector);
  try {
    return client.CallMethod(kDeliver, ToJson(envelope)).asBool();
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace hemlockwick
