#ifndef HEMLOCKWICK_EDGE_EDGE_SETTINGS_H_
#define HEMLOCKWICK_EDGE_EDGE_SETTINGS_H_

#include <cstdint>
#include <vector>

#include "Edge/directory_sync.h"
#include "Runtime/settings.h"

namespace hemlockwick {

// Conversions of the settings for the parts of an edge process.

// The addresses of the seeds, without this instance.
[[nodiscard]] auto SeedsOf(const ServeSettings& settings)
    -> std::vector<SocketAddress>;

[[nodiscard]] auto SyncSettingsOf(const ServeSettings& settings)
    -> SyncSettings;

// Whether the settings enable learned capacity, see docs/design/hard-load.md.
[[nodiscard]] auto LearnsCapacity(const ServeSettings& settings) -> bool;

// The maximum number of instances that may watch the directory here, so that
// relaying takes a small part of the instance's processor and link.
[[nodiscard]] auto RelayCapacityOf(const ServeSettings& settings)
    -> std::uint32_t;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_EDGE_SETTINGS_H_
