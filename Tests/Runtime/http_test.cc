#include <criterion/criterion.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "Runtime/http_client.h"
#include "Runtime/http_server.h"
#include "Runtime/json_rpc.h"
#include "Runtime/socket.h"

namespace hemlockwick {

namespace {

constexpr std::size_t kMaxBody = 1000;

auto Loopback() -> SocketAddress { return {Ipv4Address(0x7F000001), Port(0)}; }

// Returns the value or fails the test.
template <typename T>
auto Require(Result<T> result) -> T {
  cr_assert(static_cast<bool>(result));
  return std::move(result.value());
}

auto StartServer(HttpHandler handler) -> std::unique_ptr<HttpServer> {
  auto settings = HttpServerSettings();
  settings.max_body_bytes = kMaxBody;
  return Require(HttpServer::Start(Require(ListenTcp(Loopback())), settings,
                                   std::move(handler)));
}

auto Echo(const HttpCall& call) -> HttpResponse {
  return {201, {{"X-Method", call.request.method}}, call.request.body};
}

Test(http, passes_method_headers_and_bytes) {
  const auto server = StartServer([](const HttpCall& call) {
    auto response = Echo(call);
    response.headers["X-Seen"] = call.request.headers.at("x-sent");
    response.headers["X-Path"] = call.request.path;
    return response;
  });
  const auto body = std::string("\0\x01\xFF end", 7);
  const auto request =
      HttpRequest{"POST", "/a/b?c=d", {{"X-Sent", "yes"}}, body};
  const auto response = Require(SendHttp(server->address(), request));
  cr_assert_eq(response.status, 201);
  cr_assert_eq(response.headers.at("x-method"), "POST");
  cr_assert_eq(response.headers.at("x-seen"), "yes");
  cr_assert_eq(response.headers.at("x-path"), "/a/b?c=d");
  cr_assert(response.body == body);
}

Test(http, keeps_the_status_of_an_empty_answer) {
  for (const auto status : {200, 304, 404, 503}) {
    const auto server = StartServer([status](const HttpCall&) {
      return HttpResponse{status, {{"X-Sent", "yes"}}, {}};
    });
    const auto response = Require(SendHttp(server->address(), {}));
    cr_assert_eq(response.status, status);
    cr_assert_eq(response.headers.at("x-sent"), "yes");
    cr_assert(response.body.empty());
  }
}

Test(http, answers_413_above_the_limit_only) {
  auto calls = std::atomic<int>(0);
  const auto server = StartServer([&calls](const HttpCall& call) {
    ++calls;
    return Echo(call);
  });
  auto request = HttpRequest{"PUT", "/", {}, std::string(kMaxBody, 'x')};
  cr_assert_eq(Require(SendHttp(server->address(), request)).status, 201);
  request.body += 'x';
  cr_assert_eq(Require(SendHttp(server->address(), request)).status, 413);
  cr_assert_eq(calls.load(), 1);
}

Test(http, fails_when_nobody_listens) {
  auto listener = Require(ListenTcp(Loopback()));
  const auto address = LocalAddress(listener);
  listener = FileDescriptor();
  cr_assert_not(CanConnect(address, std::chrono::seconds(5)));
  const auto failed = TryOr(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(SendHttp(address, {}));
        return false;
      },
      [](const Error& error) { return error.code == ErrorCode::kUnavailable; });
  cr_assert(failed);
}

// Accepts one connection, receives once, sends `answer` and closes.
void AnswerOnce(const FileDescriptor& listener, const std::string& answer) {
  const auto peer = FileDescriptor(accept(listener.get(), nullptr, nullptr));
  auto buffer = std::array<char, 4096>();
  cr_assert_gt(recv(peer.get(), buffer.data(), buffer.size(), 0), 0);
  send(peer.get(), answer.data(), answer.size(), MSG_NOSIGNAL);
}

Test(http, fails_on_a_truncated_answer) {
  const auto listener = Require(ListenTcp(Loopback()));
  auto peer = std::jthread([&listener] {
    AnswerOnce(listener, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
  });
  cr_assert_not(static_cast<bool>(SendHttp(LocalAddress(listener), {})));
}

Test(http, reports_an_address_in_use) {
  const auto listener = Require(ListenTcp(Loopback()));
  const auto code = TryOr(
      [&]() -> Result<ErrorCode> {
        BOOST_LEAF_CHECK(ListenTcp(LocalAddress(listener)));
        return ErrorCode::kInternal;
      },
      [](const Error& error) { return error.code; });
  cr_assert_eq(code, ErrorCode::kAddressInUse);
}

Test(http, detects_that_the_caller_disconnected) {
  auto detected = std::atomic<bool>(false);
  const auto server = StartServer([&detected](const HttpCall& call) {
    while (!call.caller_gone()) {
      std::this_thread::yield();
    }
    detected = true;
    return HttpResponse{200, {}, {}};
  });
  {
    const auto caller = FileDescriptor(socket(AF_INET, SOCK_STREAM, 0));
    const auto remote = ToSockaddr(server->address());
    cr_assert_eq(
        connect(caller.get(), reinterpret_cast<const sockaddr*>(&remote),
                sizeof(remote)),
        0);
    const auto text = std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert_gt(send(caller.get(), text.data(), text.size(), 0), 0);
  }
  while (!detected) {
    std::this_thread::yield();
  }
}

Test(json_rpc, delivers_an_envelope_unchanged) {
  auto received = RpcEnvelope();
  auto receiver = RpcReceiver([&received](const RpcEnvelope& envelope) {
    received = envelope;
    return true;
  });
  const auto transport = [&receiver](const std::string& request,
                                     std::string& response) {
    response = receiver.Handle(request);
    return true;
  };
  const auto sent = RpcEnvelope{"flow", 0xFFFFFFFFFFFFFFFF, 1'767'225'600'123,
                                4'000'000'000, R"({"quoted":"\"text\""})"};
  cr_assert(CallDeliver(transport, sent));
  cr_assert_eq(received.plane, sent.plane);
  cr_assert_eq(received.from, sent.from);
  cr_assert_eq(received.stamp_millis, sent.stamp_millis);
  cr_assert_eq(received.stamp_counter, sent.stamp_counter);
  cr_assert_eq(received.body, sent.body);
}

Test(json_rpc, reports_refusals_and_malformed_texts) {
  auto receiver = RpcReceiver([](const RpcEnvelope&) { return false; });
  auto text = std::string();
  const auto transport = [&](const std::string& request,
                             std::string& response) {
    response = text.empty() ? receiver.Handle(request) : text;
    return true;
  };
  cr_assert_not(CallDeliver(transport, {}));
  for (const auto* const answer : {"no json", "{}", "[1]", "{\"result\":7}"}) {
    text = answer;
    cr_assert_not(CallDeliver(transport, {}));
  }
  const auto not_a_number = receiver.Handle(
      R"({"jsonrpc":"2.0","id":1,"method":"deliver","params":)"
      R"({"plane":"a","from":"x","stamp":"","counter":1,"body":""}})");
  cr_assert_neq(not_a_number.find("false"), std::string::npos);
  cr_assert_neq(receiver.Handle("garbage").find("error"), std::string::npos);
  cr_assert_neq(receiver.Handle("{}").find("error"), std::string::npos);
}

}  // namespace

}  // namespace hemlockwick
