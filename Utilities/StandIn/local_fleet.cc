#include "StandIn/local_fleet.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string_view>
#include <utility>

#include "Config/published_value.h"
#include "Config/utc_time.h"
#include "Fleet/fleet_node.h"
#include "Runtime/http_client.h"
#include "Runtime/socket.h"
#include "Timeline/event_codec.h"

namespace hemlockwick {

namespace {

// Instances listen on 127.0.1.1 and up.
constexpr std::uint32_t kFirstInstanceIp = 0x7F000101;

constexpr Duration kStatusTimeout = std::chrono::seconds(2);

// An instance that starts within this time takes part in the first start.
constexpr Duration kFirstStartTime = std::chrono::minutes(1);
constexpr int kOk = 200;

// Returns a port that is free for both TCP and UDP right now, or 0.
auto FreePort(Ipv4Address ip) -> Port {
  return TryOr(
      [&]() -> Result<Port> {
        BOOST_LEAF_AUTO(tcp, ListenTcp({ip, Port(0)}));
        const auto address = LocalAddress(tcp);
        BOOST_LEAF_CHECK(BindUdp(address, false));
        return address.port;
      },
      [](const Error&) { return Port(0); });
}

// Returns what `decode` makes of a page, or the default when the page is
// missing or malformed.
template <typename Decoded>
auto DecodeOr(const std::optional<std::string>& text,
              Result<Decoded> (*decode)(std::string_view))
    -> std::optional<Decoded> {
  return TryOr(
      [&]() -> Result<std::optional<Decoded>> {
        BOOST_LEAF_AUTO(decoded, decode(text.value_or("")));
        return std::optional(std::move(decoded));
      },
      [](const Error&) { return std::optional<Decoded>(); });
}

}  // namespace

TemporaryDirectory::TemporaryDirectory() {
  auto pattern =
      (std::filesystem::temp_directory_path() / "hemlockwick-XXXXXX").string();
  if (mkdtemp(pattern.data()) != nullptr) {
    path_ = pattern;
  }
}

TemporaryDirectory::~TemporaryDirectory() {
  auto ignored = std::error_code();
  if (!path_.empty()) {
    std::filesystem::remove_all(path_, ignored);
  }
}

auto LocalFleet::Start(const std::string& program, std::size_t count)
    -> Result<std::unique_ptr<LocalFleet>> {
  auto fleet = std::unique_ptr<LocalFleet>(new LocalFleet());
  BOOST_LEAF_ASSIGN(fleet->platform_, PlatformStandIn::Start());
  fleet->List(count);
  fleet->PublishList({});
  for (auto index = std::size_t{0}; index < count; ++index) {
    fleet->WriteSettings(index);
    BOOST_LEAF_AUTO(
        process,
        InstanceProcess::Start(program, "serve", fleet->FileOf(index, ".yaml"),
                               fleet->FileOf(index, ".log")));
    fleet->processes_.push_back(std::move(process));
  }
  return fleet;
}

void LocalFleet::List(std::size_t count) {
  const auto& data_centres = LocalDataCentres();
  for (auto index = std::size_t{0}; index < count; ++index) {
    const auto ip =
        Ipv4Address(kFirstInstanceIp + static_cast<std::uint32_t>(index));
    const auto address = SocketAddress{ip, FreePort(ip)};
    const auto& data_centre = data_centres[index % data_centres.size()];
    listed_.push_back({data_centre + "-" + std::to_string(index + 1),
                       data_centre, address, address, false});
  }
}

auto LocalFleet::FileOf(std::size_t index, const char* suffix) const
    -> std::string {
  return directory_.path() + "/" + listed_[index].name + suffix;
}

void LocalFleet::WriteSettings(std::size_t index) const {
  const auto& listed = listed_[index];
  auto file = std::ofstream(FileOf(index, ".yaml"));
  file << "name: " << listed.name << "\n"
       << "data_centre: " << listed.data_centre << "\n"
       << "http: " << ToString(listed.http_address) << "\n"
       << "packet: " << ToString(listed.packet_address) << "\n"
       << "platform: " << ToString(platform_->address()) << "\n"
       << "seeds: [" << ToString(listed_.front().http_address) << "]\n"
       << "first_start_until: " << FormatUtc(clock_.Now() + kFirstStartTime)
       << "\n";
}

auto LocalFleet::targets() const -> std::vector<FabricTarget> {
  auto result = std::vector<FabricTarget>();
  std::ranges::transform(
      listed_, std::back_inserter(result), [](const auto& instance) {
        return FabricTarget{instance.http_address, instance.packet_address};
      });
  return result;
}

auto LocalFleet::Publish(const LocalObjects& objects) -> std::uint64_t {
  config_ = NextLocalConfig(objects, config_.get(), clock_.Now());
  for (auto& value : EncodeFleetConfig(*config_)) {
    platform_->Set(value.key, std::move(value.body));
  }
  return config_->version.value();
}

void LocalFleet::PublishList(const std::set<std::string>& without) {
  auto kept = std::vector<ListedInstance>();
  std::ranges::copy_if(listed_, std::back_inserter(kept),
                       [&without](const auto& instance) {
                         return !without.contains(instance.name);
                       });
  platform_->Set(std::string(kInstanceListKey), EncodeInstanceList(kept));
}

auto LocalFleet::Get(std::size_t index, const std::string& path) const
    -> std::optional<std::string> {
  auto request = HttpRequest();
  request.path = path;
  request.timeout = kStatusTimeout;
  return TryOr(
      [&]() -> Result<std::optional<std::string>> {
        BOOST_LEAF_AUTO(response,
                        SendHttp(listed_[index].http_address, request));
        return response.status == kOk ? std::optional(response.body)
                                      : std::nullopt;
      },
      [](const Error&) { return std::optional<std::string>(); });
}

auto LocalFleet::Status(std::size_t index) const
    -> std::optional<StatusReport> {
  return DecodeOr(Get(index, "/status"), &DecodeStatus);
}

auto LocalFleet::StateOf(std::size_t member, std::size_t index) const
    -> std::string {
  const auto text = Get(index, "/members").value_or("[]");
  for (const auto& known : nlohmann::json::parse(text)) {
    if (known.at("name") == name(member)) {
      return known.at("state");
    }
  }
  return {};
}

auto LocalFleet::HasEvent(std::size_t index, EventKind kind,
                          const std::string& subject) const -> bool {
  const auto events = DecodeOr(Get(index, "/events"), &DecodeEvents);
  return events && std::ranges::any_of(*events, [&](const Event& event) {
           return event.kind == kind && event.subject == subject;
         });
}

auto LocalFleet::InForce(std::uint64_t version,
                         const std::vector<std::size_t>& instances) const
    -> bool {
  return std::ranges::all_of(instances, [&](std::size_t index) {
    const auto status = Status(index);
    return status && status->version >= Version(version);
  });
}

auto LocalFleet::LogOf(std::size_t index) const -> std::string {
  auto text = std::ostringstream();
  text << std::ifstream(FileOf(index, ".log")).rdbuf();
  return text.str();
}

}  // namespace hemlockwick
