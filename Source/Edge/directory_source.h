#ifndef HEMLOCKWICK_EDGE_DIRECTORY_SOURCE_H_
#define HEMLOCKWICK_EDGE_DIRECTORY_SOURCE_H_

#include <boost/asio/io_context.hpp>
#include <concepts>
#include <functional>
#include <string>

#include "Core/net_address.h"
#include "Edge/directory_sync.h"
#include "Runtime/system_clock.h"

namespace hemlockwick {

// Client of the platform: makes the calls that DirectorySync schedules and
// decodes the answers.
template <typename T>
concept DirectorySource = std::constructible_from<
    T, boost::asio::io_context&, const SocketAddress&, const SystemClock&> &&
    requires(T source, const SyncCall& call,
             std::function<void(SyncAnswer, std::string)> on_answer) {
  source.Call(call, on_answer);
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_DIRECTORY_SOURCE_H_
