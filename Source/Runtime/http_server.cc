#include "Runtime/http_server.h"

#include <poll.h>
#include <ulfius.h>

#include <array>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "Runtime/socket.h"
#include "Runtime/ulfius_headers.h"
#include "Runtime/ulfius_init.h"

namespace hemlockwick {

namespace {

// Idle connections are closed after this many seconds.
constexpr unsigned int kIdleSeconds = 75;

// How long a stop waits for answers that are still being written.
constexpr Duration kStopGrace = std::chrono::seconds(2);

constexpr int kPayloadTooLarge = 413;

// The sockets of open connections, by the caller's address.
class ConnectionTable {
 public:
  void Add(const SocketAddress& caller, int fd) {
    const auto lock = std::lock_guard(mutex_);
    sockets_[caller] = fd;
  }

  void Remove(const SocketAddress& caller) {
    const auto lock = std::lock_guard(mutex_);
    sockets_.erase(caller);
  }

  [[nodiscard]] auto IsClosed(const SocketAddress& caller) const -> bool {
    const auto fd = Find(caller);
    if (!fd) {
      return false;
    }
    auto state = pollfd{*fd, POLLRDHUP, 0};
    poll(&state, 1, 0);
    return (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

 private:
  [[nodiscard]] auto Find(const SocketAddress& caller) const
      -> std::optional<int> {
    const auto lock = std::lock_guard(mutex_);
    const auto found = sockets_.find(caller);
    return found == sockets_.end() ? std::nullopt
                                   : std::optional(found->second);
  }

  mutable std::mutex mutex_;
  std::map<SocketAddress, int> sockets_;
};

void OnConnection(void* table, MHD_Connection* connection, void** /*context*/,
                  MHD_ConnectionNotificationCode code) {
  const auto* const remote =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  const auto* const socket =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  if (remote == nullptr || socket == nullptr) {
    return;
  }
  const auto caller =
      FromSockaddr(*reinterpret_cast<const sockaddr_in*>(remote->client_addr));
  auto& connections = *static_cast<ConnectionTable*>(table);
  if (code == MHD_CONNECTION_NOTIFY_STARTED) {
    connections.Add(caller, socket->connect_fd);
  } else {
    connections.Remove(caller);
  }
}

// Counts the requests whose responses have not been written completely.
class ActiveRequests {
 public:
  void Begin() {
    const auto lock = std::lock_guard(mutex_);
    ++count_;
  }

  void End() {
    {
      const auto lock = std::lock_guard(mutex_);
      --count_;
    }
    changed_.notify_all();
  }

  void WaitUntilIdle(Duration bound) {
    auto lock = std::unique_lock(mutex_);
    changed_.wait_for(lock, bound, [this] { return count_ == 0; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  int count_ = 0;
};

auto ReadRequest(const _u_request& source) -> HttpRequest {
  auto request = HttpRequest();
  request.method = source.http_verb;
  request.path = source.http_url;
  request.headers = ReadHeaders(*source.map_header);
  if (source.binary_body_length > 0) {
    request.body.assign(static_cast<const char*>(source.binary_body),
                        source.binary_body_length);
  }
  return request;
}

void WriteResponse(const HttpResponse& response, _u_response& target) {
  // Ulfius rejects a binary body of length 0.
  if (response.body.empty()) {
    ulfius_set_empty_body_response(&target, response.status);
  } else {
    ulfius_set_binary_body_response(&target, response.status,
                                    response.body.data(), response.body.size());
  }
  for (const auto& [name, value] : response.headers) {
    ulfius_add_header_to_response(&target, name.c_str(), value.c_str());
  }
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(const HttpServerSettings& settings, HttpHandler handler)
      : settings_(settings), handler_(std::move(handler)) {}

  ~Impl() {
    if (!initialised_) {
      return;
    }
    if (instance_.mhd_daemon != nullptr) {
      // Stop accepting connections and let responses in progress be written.
      const auto listener =
          FileDescriptor(MHD_quiesce_daemon(instance_.mhd_daemon));
      active_.WaitUntilIdle(kStopGrace);
    }
    ulfius_stop_framework(&instance_);
    ulfius_clean_instance(&instance_);
  }
  Impl(const Impl&) = delete;
  auto operator=(const Impl&) -> Impl& = delete;

  auto Start(FileDescriptor listener) -> Result<void> {
    InitUlfiusOnce();
    address_ = LocalAddress(listener);
    auto bind_address = ToSockaddr(address_);
    ulfius_init_instance(&instance_, address_.port.value(), &bind_address,
                         nullptr);
    initialised_ = true;
    // One byte above the limit, so that a body at the limit can be told from a
    // larger one.
    instance_.max_post_body_size = settings_.max_body_bytes + 1;
    instance_.allowed_post_processor = U_POST_PROCESS_NONE;
    instance_.check_utf8 = 0;
    ulfius_set_default_endpoint(&instance_, &Impl::OnRequest, this);
    return Listen(std::move(listener));
  }

  [[nodiscard]] auto address() const -> SocketAddress { return address_; }

 private:
  auto Listen(FileDescriptor listener) -> Result<void> {
    const auto callback = [](auto* function) {
      return reinterpret_cast<intptr_t>(function);
    };
    auto options = std::array{
        MHD_OptionItem{MHD_OPTION_NOTIFY_COMPLETED,
                       callback(&Impl::OnRequestCompleted), this},
        MHD_OptionItem{MHD_OPTION_URI_LOG_CALLBACK,
                       callback(&Impl::OnRequestStarted), this},
        MHD_OptionItem{MHD_OPTION_NOTIFY_CONNECTION, callback(&OnConnection),
                       &connections_},
        MHD_OptionItem{MHD_OPTION_CONNECTION_LIMIT,
                       static_cast<intptr_t>(settings_.max_connections),
                       nullptr},
        MHD_OptionItem{MHD_OPTION_CONNECTION_TIMEOUT, kIdleSeconds, nullptr},
        MHD_OptionItem{MHD_OPTION_LISTEN_SOCKET, listener.get(), nullptr},
        MHD_OptionItem{MHD_OPTION_END, 0, nullptr}};
    const auto flags = MHD_USE_THREAD_PER_CONNECTION |
                       MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
                       MHD_USE_ITC;
    const auto status = ulfius_start_framework_with_mhd_options(
        &instance_, flags, options.data());
    if (status != U_OK) {
      return Fail(ErrorCode::kInternal,
                  "cannot serve HTTP at " + ToString(address_),
                  "check the limits on threads and open files");
    }
    listener.Release();
    return {};
  }

  // These replace callbacks that ulfius registers without a closure, so the
  // closure can hold the server. They call the functions of ulfius.
  static auto OnRequestStarted(void* self, const char* uri) -> void* {
    static_cast<Impl*>(self)->active_.Begin();
    return ulfius_uri_logger(nullptr, uri);
  }

  static void OnRequestCompleted(void* self, MHD_Connection* connection,
                                 void** context,
                                 MHD_RequestTerminationCode code) {
    mhd_request_completed(nullptr, connection, context, code);
    static_cast<Impl*>(self)->active_.End();
  }

  static auto OnRequest(const _u_request* request, _u_response* response,
                        void* self) -> int {
    WriteResponse(static_cast<Impl*>(self)->HandleRequest(*request), *response);
    return U_CALLBACK_CONTINUE;
  }

  auto HandleRequest(const _u_request& source) -> HttpResponse {
    if (source.binary_body_length > settings_.max_body_bytes) {
      return {kPayloadTooLarge,
              {},
              "the body is larger than " +
                  std::to_string(settings_.max_body_bytes) + " bytes\n"};
    }
    auto call = HttpCall();
    call.request = ReadRequest(source);
    call.caller = FromSockaddr(
        *reinterpret_cast<const sockaddr_in*>(source.client_address));
    call.caller_gone = [this, caller = call.caller] {
      return connections_.IsClosed(caller);
    };
    return handler_(call);
  }

  const HttpServerSettings settings_;
  const HttpHandler handler_;
  SocketAddress address_;
  ConnectionTable connections_;
  ActiveRequests active_;
  _u_instance instance_{};
  bool initialised_ = false;
};

auto HttpServer::Start(FileDescriptor listener,
                       const HttpServerSettings& settings, HttpHandler handler)
    -> Result<std::unique_ptr<HttpServer>> {
  auto impl = std::make_unique<Impl>(settings, std::move(handler));
  BOOST_LEAF_CHECK(impl->Start(std::move(listener)));
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

HttpServer::~HttpServer() = default;

auto HttpServer::address() const -> SocketAddress { return impl_->address(); }

}  // namespace hemlockwick
