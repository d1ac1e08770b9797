#include "Edge/directory_update.h"

#include <algorithm>

namespace hemlockwick {

void DirectoryUpdate::Forget(EndpointId endpoint) {
  std::erase_if(reports, [endpoint](const auto& report) {
    return report.id == endpoint;
  });
  std::erase(removed, endpoint);
  std::erase(unreadable, endpoint);
}

void DirectoryUpdate::Append(const DirectoryUpdate& later) {
  for (const auto& report : later.reports) {
    Forget(report.id);
    reports.push_back(report);
  }
  for (const auto endpoint : later.removed) {
    Forget(endpoint);
    removed.push_back(endpoint);
  }
  for (const auto endpoint : later.unreadable) {
    Forget(endpoint);
    unreadable.push_back(endpoint);
  }
  if (later.routes != nullptr) {
    routes = later.routes;
  }
  revision = std::max(revision, later.revision);
  ignored += later.ignored;
}

}  // namespace hemlockwick
