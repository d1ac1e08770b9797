#ifndef HEMLOCKWICK_FLOW_ENDPOINT_REPORT_H_
#define HEMLOCKWICK_FLOW_ENDPOINT_REPORT_H_

#include <cstdint>

#include "Core/ids.h"
#include "Core/net_address.h"
#include "Core/time.h"
#include "Flow/entry_ref.h"

namespace hemlockwick {

// The last report of an endpoint about itself.
struct EndpointReport {
  EndpointId id;
  ServiceId service;
  SocketAddress address;
  DataCentreId data_centre;
  std::uint32_t slots = 1;
  bool draining = false;
  // The endpoint has just started and is slower than usual until this time.
  TimePoint cold_until;
  // The entry of the report, and when it was created; zero when not told.
  EntryId entry;
  Revision entry_created;

  [[nodiscard]] auto Ref() const -> EntryRef { return {id, entry}; }

  friend auto operator==(const EndpointReport&, const EndpointReport&)
      -> bool = default;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_ENDPOINT_REPORT_H_
