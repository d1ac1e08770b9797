#ifndef HEMLOCKWICK_STANDIN_LOCAL_FLEET_H_
#define HEMLOCKWICK_STANDIN_LOCAL_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Config/fleet_config.h"
#include "Core/error.h"
#include "Fleet/instance_list.h"
#include "Fleet/status_report.h"
#include "Runtime/system_clock.h"
#include "StandIn/fabric.h"
#include "StandIn/instance_process.h"
#include "StandIn/local_config.h"
#include "StandIn/platform.h"
#include "Timeline/event.h"

namespace hemlockwick {

// A directory that is removed with its files.
class TemporaryDirectory {
 public:
  TemporaryDirectory();
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  auto operator=(const TemporaryDirectory&) -> TemporaryDirectory& = delete;

  [[nodiscard]] auto path() const -> const std::string& { return path_; }

 private:
  std::string path_;
};

// A platform stand-in and real processes of the program on loopback.
class LocalFleet {
 public:
  // Starts `count` instances of `program`, spread over the data centres.
  [[nodiscard]] static auto Start(const std::string& program, std::size_t count)
      -> Result<std::unique_ptr<LocalFleet>>;

  [[nodiscard]] auto platform() -> PlatformStandIn& { return *platform_; }
  [[nodiscard]] auto size() const -> std::size_t { return listed_.size(); }
  [[nodiscard]] auto process(std::size_t index) -> InstanceProcess& {
    return *processes_[index];
  }
  [[nodiscard]] auto name(std::size_t index) const -> const std::string& {
    return listed_[index].name;
  }
  [[nodiscard]] auto targets() const -> std::vector<FabricTarget>;

  // Publishes the next version with these objects and returns its number.
  auto Publish(const LocalObjects& objects) -> std::uint64_t;

  // Publishes the list of instances without those named.
  void PublishList(const std::set<std::string>& without);

  // Asks an instance; empty when it does not answer.
  [[nodiscard]] auto Status(std::size_t index) const
      -> std::optional<StatusReport>;

  // State of a member as an instance sees it, for example "alive"; empty when
  // the instance does not answer or does not know the member.
  [[nodiscard]] auto StateOf(std::size_t member, std::size_t index) const
      -> std::string;

  // Whether the time line of an instance has an event of this kind about
  // `subject`.
  [[nodiscard]] auto HasEvent(std::size_t index, EventKind kind,
                              const std::string& subject) const -> bool;

  // Reads one of an instance's pages; empty when it does not answer.
  [[nodiscard]] auto Get(std::size_t index, const std::string& path) const
      -> std::optional<std::string>;

  // Whether all the instances have at least this version in force.
  [[nodiscard]] auto InForce(std::uint64_t version,
                             const std::vector<std::size_t>& instances) const
      -> bool;

  // The last lines that an instance wrote.
  [[nodiscard]] auto LogOf(std::size_t index) const -> std::string;

 private:
  LocalFleet() = default;
  void List(std::size_t count);
  [[nodiscard]] auto FileOf(std::size_t index, const char* suffix) const
      -> std::string;
  void WriteSettings(std::size_t index) const;

  const SystemClock clock_;
  const TemporaryDirectory directory_;
  std::unique_ptr<PlatformStandIn> platform_;
  std::vector<ListedInstance> listed_;
  std::shared_ptr<const FleetConfig> config_;
  std::vector<std::unique_ptr<InstanceProcess>> processes_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_STANDIN_LOCAL_FLEET_H_
