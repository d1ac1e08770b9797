#include "Edge/relay_codec.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <utility>

#include "Edge/packed_address.h"

namespace hemlockwick {

namespace {

using Json = nlohmann::json;

auto EncodeReport(const EndpointReport& report, TimePoint now) -> Json {
  const auto cold = std::max(report.cold_until - now, Duration(0));
  return Json::array({report.id.value(), report.service.value(),
                      report.address.ip.value(), report.address.port.value(),
                      report.data_centre.value(), report.slots, report.draining,
                      ToMillis(cold), report.entry.value(),
                      report.entry_created.value()});
}

auto DecodeReport(const Json& item, TimePoint now) -> EndpointReport {
  auto report = EndpointReport();
  report.id = EndpointId(item.at(0).get<std::uint64_t>());
  report.service = ServiceId(item.at(1).get<std::uint64_t>());
  report.address = {Ipv4Address(item.at(2).get<std::uint32_t>()),
                    Port(item.at(3).get<std::uint16_t>())};
  report.data_centre = DataCentreId(item.at(4).get<std::uint64_t>());
  report.slots = item.at(5).get<std::uint32_t>();
  report.draining = item.at(6).get<bool>();
  const auto cold = item.at(7).get<std::int64_t>();
  if (cold > 0) {
    report.cold_until = now + std::chrono::milliseconds(cold);
  }
  // Earlier versions do not send the entry.
  constexpr auto kEntryPosition = std::size_t{8};
  if (item.size() > kEntryPosition + 1) {
    report.entry = EntryId(item.at(kEntryPosition).get<std::uint64_t>());
    report.entry_created =
        Revision(item.at(kEntryPosition + 1).get<std::uint64_t>());
  }
  return report;
}

auto EncodeRoute(const Route& route) -> Json {
  auto item =
      Json::array({route.address.ip.value(), route.address.port.value()});
  for (const auto& target : route.targets) {
    item.push_back(target.service.value());
    item.push_back(target.weight);
  }
  item.push_back(route.idempotent);
  return item;
}

auto DecodeRoute(const Json& item) -> Route {
  auto route = Route();
  route.address = {Ipv4Address(item.at(0).get<std::uint32_t>()),
                   Port(item.at(1).get<std::uint16_t>())};
  for (auto index = std::size_t{2}; index + 1 < item.size(); index += 2) {
    route.targets.push_back({ServiceId(item.at(index).get<std::uint64_t>()),
                             item.at(index + 1).get<std::uint32_t>()});
  }
  // Earlier versions do not send it.
  route.idempotent = item.size() % 2 == 1 && item.back().get<bool>();
  return route;
}

using RoutesByAddress = std::unordered_map<SocketAddress, const Route*>;

auto ByAddress(const RouteSet& routes) -> RoutesByAddress {
  auto result = RoutesByAddress();
  for (const auto& route : routes.routes) {
    result.emplace(route.address, &route);
  }
  return result;
}

using ColdRates = std::unordered_map<ServiceId, double>;

auto ColdRatesOf(const RouteSet* routes) -> ColdRates {
  auto result = ColdRates();
  if (routes != nullptr) {
    for (const auto& limits : routes->services) {
      result.emplace(limits.service, limits.cold_openings_per_second);
    }
  }
  return result;
}

// The services whose limits differ from those in `base`; with a limit of 0 when
// none is published any more.
auto EncodeServices(const RouteSet& routes, const RouteSet* base) -> Json {
  auto known = ColdRatesOf(base);
  auto result = Json::array();
  for (const auto& [service, rate] : ColdRatesOf(&routes)) {
    const auto found = known.find(service);
    if (found == known.end() || found->second != rate) {
      result.push_back(Json::array({service.value(), rate}));
    }
    known.erase(service);
  }
  for (const auto& [service, rate] : known) {
    result.push_back(Json::array({service.value(), 0.0}));
  }
  return result;
}

// Relays of earlier versions send no services: those of `base` still count.
auto DecodeServices(const Json& message, const RouteSet* base)
    -> std::vector<ServiceLimits> {
  auto rates = ColdRatesOf(base);
  for (const auto& item : message.value("services", Json::array())) {
    rates[ServiceId(item.at(0).get<std::uint64_t>())] =
        item.at(1).get<double>();
  }
  auto result = std::vector<ServiceLimits>();
  for (const auto& [service, rate] : rates) {
    if (rate > 0) {
      result.push_back({service, rate});
    }
  }
  return result;
}

auto EncodeRoutes(const RouteSet& routes, const RouteSet* base) -> Json {
  auto known = base == nullptr ? RoutesByAddress() : ByAddress(*base);
  auto put = Json::array();
  for (const auto& route : routes.routes) {
    const auto found = known.find(route.address);
    if (found == known.end() || *found->second != route) {
      put.push_back(EncodeRoute(route));
    }
    if (found != known.end()) {
      known.erase(found);
    }
  }
  auto removed = Json::array();
  for (const auto& [address, route] : known) {
    removed.push_back(Json::array({address.ip.value(), address.port.value()}));
  }
  auto result = Json{{"version", routes.version.value()},
                     {"put", std::move(put)},
                     {"removed", std::move(removed)}};
  if (auto services = EncodeServices(routes, base); !services.empty()) {
    result["services"] = std::move(services);
  }
  if (base != nullptr) {
    result["base"] = base->version.value();
  }
  return result;
}

// Throws a Json exception when the message is malformed or its routes are a
// difference from routes that the receiver does not hold.
auto DecodeRoutes(const Json& message, const RouteSet* base)
    -> std::shared_ptr<const RouteSet> {
  auto result = std::make_shared<RouteSet>();
  result->version = Version(message.at("version").get<std::uint64_t>());
  auto changed = std::unordered_map<SocketAddress, bool>();
  for (const auto& item : message.at("put")) {
    result->routes.push_back(DecodeRoute(item));
    changed.emplace(result->routes.back().address, true);
  }
  for (const auto& item : message.at("removed")) {
    changed.emplace(SocketAddress{Ipv4Address(item.at(0).get<std::uint32_t>()),
                                  Port(item.at(1).get<std::uint16_t>())},
                    true);
  }
  if (!message.contains("base")) {
    result->services = DecodeServices(message, nullptr);
    return result;
  }
  const auto version = Version(message.at("base").get<std::uint64_t>());
  if (base == nullptr || base->version != version) {
    throw Json::other_error::create(501, "the base is not held by the receiver",
                                    &message);
  }
  result->services = DecodeServices(message, base);
  for (const auto& route : base->routes) {
    if (!changed.contains(route.address)) {
      result->routes.push_back(route);
    }
  }
  return result;
}

// The endpoints that the entries name, as `name`, and apart from them the
// entries, which earlier versions do not read.
void EncodeEntries(const std::vector<EntryRef>& entries,
                   const std::string& name, Json& message) {
  auto endpoints = Json::array();
  auto keys = Json::array();
  for (const auto& ref : entries) {
    endpoints.push_back(ref.endpoint.value());
    keys.push_back(ref.entry.value());
  }
  if (!keys.empty()) {
    message[name + "_entries"] = std::move(keys);
  }
  message[name] = std::move(endpoints);
}

auto DecodeEntries(const Json& message, const std::string& name)
    -> std::vector<EntryRef> {
  const auto keys = message.value(name + "_entries", Json::array());
  auto result = std::vector<EntryRef>();
  for (const auto& item : message.at(name)) {
    const auto index = result.size();
    const auto key =
        index < keys.size() ? keys.at(index).get<std::uint64_t>() : 0;
    result.emplace_back(EndpointId(item.get<std::uint64_t>()), EntryId(key));
  }
  return result;
}

auto EncodeAddresses(const std::vector<SocketAddress>& addresses) -> Json {
  auto result = Json::array();
  for (const auto& address : addresses) {
    result.push_back(PackAddress(address));
  }
  return result;
}

auto DecodeAddresses(const Json& items) -> std::vector<SocketAddress> {
  auto result = std::vector<SocketAddress>();
  for (const auto& item : items) {
    result.push_back(UnpackAddress(item.get<std::uint64_t>()));
  }
  return result;
}

auto EncodeEvacuations(const std::vector<Evacuation>& evacuations) -> Json {
  auto result = Json::array();
  for (const auto& evacuation : evacuations) {
    result.push_back(
        Json::array({evacuation.data_centre, evacuation.is_evacuated,
                     evacuation.revision.value()}));
  }
  return result;
}

auto DecodeEvacuations(const Json& items) -> std::vector<Evacuation> {
  auto result = std::vector<Evacuation>();
  for (const auto& item : items) {
    result.push_back({item.at(0).get<std::string>(), item.at(1).get<bool>(),
                      Revision(item.at(2).get<std::uint64_t>())});
  }
  return result;
}

void EncodeAdvice(const RelayAdvice& advice, Json& message) {
  if (!advice.path.empty()) {
    message["path"] = EncodeAddresses(advice.path);
  }
  if (!advice.relays.empty()) {
    message["relays"] = EncodeAddresses(advice.relays);
  }
  if (advice.is_full) {
    message["full"] = true;
  }
}

// Relays of earlier versions send no advice.
auto DecodeAdvice(const Json& message) -> RelayAdvice {
  auto advice = RelayAdvice();
  advice.path = DecodeAddresses(message.value("path", Json::array()));
  advice.relays = DecodeAddresses(message.value("relays", Json::array()));
  advice.is_full = message.value("full", false);
  return advice;
}

auto EncodeSuspects(const std::vector<SharedSuspect>& suspects, TimePoint now)
    -> Json {
  auto result = Json::array();
  for (const auto& suspect : suspects) {
    result.push_back(
        Json::array({suspect.token.value(), ToMillis(now - suspect.at),
                     static_cast<int>(suspect.suspicion)}));
  }
  return result;
}

// Relays of earlier versions do not send the kind of suspicion.
auto DecodeSuspicion(const Json& item) -> Suspicion {
  constexpr auto kPosition = std::size_t{2};
  const auto is_failing =
      item.size() > kPosition &&
      item.at(kPosition).get<int>() == static_cast<int>(Suspicion::kFailing);
  return is_failing ? Suspicion::kFailing : Suspicion::kSilent;
}

auto DecodeSuspects(const Json& items, TimePoint now)
    -> std::vector<SharedSuspect> {
  auto result = std::vector<SharedSuspect>();
  const auto before = [now](const Json& age) {
    return now - std::chrono::milliseconds(age.get<std::int64_t>());
  };
  for (const auto& item : items) {
    result.push_back({FlowToken(item.at(0).get<std::uint32_t>()),
                      before(item.at(1)), DecodeSuspicion(item)});
  }
  return result;
}

// Weights are sent in units of 1/64, in one byte.
constexpr double kWeightSteps = 64;
constexpr std::int64_t kMaxWeightUnits = 255;
constexpr std::size_t kTokenBytes = 4;
constexpr unsigned kByteBits = 8;

// Speeds as a byte string: of each the token, its highest byte first, and the
// weight.
auto EncodeSpeeds(const std::vector<SharedSpeed>& speeds) -> Json {
  auto bytes = Json::binary_t();
  for (const auto& speed : speeds) {
    if (bytes.size() == kMaxAnsweredSpeeds * kSpeedBytes) {
      break;
    }
    for (auto index = kTokenBytes; index > 0; --index) {
      bytes.push_back(static_cast<std::uint8_t>(speed.token.value() >>
                                                (index - 1) * kByteBits));
    }
    const auto units = std::clamp<std::int64_t>(
        std::lround(speed.weight * kWeightSteps), 1, kMaxWeightUnits);
    bytes.push_back(static_cast<std::uint8_t>(units));
  }
  return bytes;
}

// Ignores endpoints beyond the limit, a rest that is too short, and weights of
// zero.
auto DecodeSpeeds(const Json& message, TimePoint now) -> SharedSpeeds {
  const auto age =
      std::clamp<std::int64_t>(message.value("speeds_ms", std::int64_t{0}), 0,
                               ToMillis(kSpeedsLifetime));
  auto result = SharedSpeeds{{}, now - std::chrono::milliseconds(age)};
  const auto& bytes = message.at("speeds").get_binary();
  const auto count = std::min(bytes.size() / kSpeedBytes, kMaxAnsweredSpeeds);
  for (auto at = std::size_t{0}; at < count * kSpeedBytes; at += kSpeedBytes) {
    auto token = std::uint32_t{0};
    for (auto index = std::size_t{0}; index < kTokenBytes; ++index) {
      token = token << kByteBits | bytes[at + index];
    }
    const auto units = bytes[at + kTokenBytes];
    if (units > 0) {
      result.speeds.push_back({FlowToken(token), units / kWeightSteps});
    }
  }
  return result;
}

auto DecodeMessage(const Json& message, const RouteSet* base, TimePoint now)
    -> SyncAnswer {
  auto answer = SyncAnswer();
  answer.status = SyncStatus::kOk;
  answer.age = std::chrono::milliseconds(message.at("age_ms").get<int>());
  if (message.contains("outage_ms")) {
    answer.since_outage =
        std::chrono::milliseconds(message.at("outage_ms").get<std::int64_t>());
  }
  if (message.contains("data_centre")) {
    answer.data_centre =
        DataCentreId(message.at("data_centre").get<std::uint64_t>());
  }
  if (message.contains("suspects")) {
    answer.suspects = DecodeSuspects(message.at("suspects"), now);
  }
  answer.advice = DecodeAdvice(message);
  if (message.contains("speeds")) {
    answer.speeds = DecodeSpeeds(message, now);
  }
  if (message.contains("instances")) {
    answer.instances = message.at("instances").get<std::uint32_t>();
  }
  auto& update = answer.update;
  update.is_whole = message.at("whole").get<bool>();
  update.is_difference = message.value("difference", false);
  update.position.revision =
      Revision(message.at("revision").get<std::uint64_t>());
  // Earlier versions do not send it.
  update.position.era = Era(message.value("era", std::uint64_t{0}));
  for (const auto& item : message.at("endpoints")) {
    update.reports.push_back(DecodeReport(item, now));
  }
  update.removed = DecodeEntries(message, "removed");
  update.unreadable = DecodeEntries(message, "unreadable");
  if (message.contains("routes")) {
    update.routes = DecodeRoutes(message.at("routes"), base);
  }
  update.evacuations =
      DecodeEvacuations(message.value("evacuations", Json::array()));
  // Relays of earlier versions do not send evacuations.
  update.has_all_evacuations = message.contains("evacuations") &&
                               !message.value("evacuations_partial", false);
  return answer;
}

}  // namespace

auto EncodeUpdate(const DirectoryUpdate& update, const RelayState& state,
                  const RouteSet* base, TimePoint now) -> std::string {
  auto endpoints = Json::array();
  for (const auto& report : update.reports) {
    endpoints.push_back(EncodeReport(report, now));
  }
  auto message = Json{{"revision", update.position.revision.value()},
                      {"whole", update.is_whole},
                      {"age_ms", ToMillis(state.age)},
                      {"data_centre", state.data_centre.value()},
                      {"endpoints", std::move(endpoints)},
                      {"evacuations", EncodeEvacuations(update.evacuations)}};
  EncodeEntries(update.removed, "removed", message);
  EncodeEntries(update.unreadable, "unreadable", message);
  if (!update.has_all_evacuations) {
    message["evacuations_partial"] = true;
  }
  if (update.is_difference) {
    message["difference"] = true;
  }
  if (update.position.era != Era()) {
    message["era"] = update.position.era.value();
  }
  if (state.since_outage) {
    message["outage_ms"] = ToMillis(*state.since_outage);
  }
  if (!state.suspects.empty()) {
    message["suspects"] = EncodeSuspects(state.suspects, now);
  }
  EncodeAdvice(state.advice, message);
  if (state.speeds) {
    message["speeds"] = EncodeSpeeds(state.speeds->speeds);
    message["speeds_ms"] = ToMillis(now - state.speeds->at);
  }
  if (state.instances) {
    message["instances"] = *state.instances;
  }
  if (update.routes != nullptr) {
    message["routes"] = EncodeRoutes(*update.routes, base);
  }
  auto body = std::string();
  Json::to_cbor(message, body);
  return body;
}

auto DecodeUpdate(std::string_view body, const RouteSet* base, TimePoint now)
    -> Result<SyncAnswer> {
  try {
    return DecodeMessage(Json::from_cbor(body), base, now);
  } catch (const Json::exception& error) {
    return Fail(
        ErrorCode::kInvalidArgument,
        std::string("cannot decode the relay's answer: ") + error.what(),
        "run the same version on all instances");
  }
}

}  // namespace hemlockwick
