#include "AtMostOnce/key_simulation.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "Core/hash.h"

namespace hemlockwick {

namespace {

constexpr std::size_t kMaxKeys = 1000;

auto MakeConfig() -> std::shared_ptr<const FleetConfig> {
  auto data_centres = std::vector<DataCentre>();
  for (const auto* name : {"a", "b", "c"}) {
    data_centres.push_back(DataCentre{IdFromName<DataCentreId>(name), name,
                                      IdFromName<RegionId>("region")});
  }
  auto service = std::make_shared<Service>();
  service->name = "orders";
  service->id = IdFromName<ServiceId>(service->name);
  service->kind = ServiceKind::kRequest;
  service->contract.max_deadline = kRequestTimeout;
  service->contract.key_memory = kSimulationKeyMemory;
  auto endpoint = Endpoint();
  endpoint.data_centre = data_centres[0].id;
  service->endpoints.push_back(endpoint);
  return BuildFleetConfig(Version(1), Digest(), kSimulationStart, data_centres,
                          {service});
}

auto Decode(const std::string& text) -> RequestMessage {
  return TryOr([&text] { return DecodeRequestMessage(text); },
               [](const Error&) { return RequestMessage(); });
}

}  // namespace

KeySimulation::KeySimulation(const std::vector<SimulatedMember>& members,
                             InjectedFault fault)
    : fault_(fault), config_(MakeConfig()) {
  for (const auto& member : members) {
    AddNode(member);
  }
}

auto KeySimulation::AddNode(const SimulatedMember& member) -> std::size_t {
  auto node = Node();
  node.member = member;
  node.id = IdFromName<InstanceId>(member.name);
  const auto knows_since =
      fault_.incomplete_homes_grant ? TimePoint() : member.started;
  node.keys = std::make_shared<AtMostOnce>(node.id, kMaxKeys, knows_since);
  node.keys->OnConfig(config_, now_);
  nodes_.push_back(std::move(node));
  return nodes_.size() - 1;
}

auto KeySimulation::MutableKeys(std::size_t node) -> AtMostOnce& {
  auto& keys = nodes_[node].keys;
  nodes_[node].digest = 0;
  if (keys.use_count() > 1) {
    keys = std::make_shared<AtMostOnce>(*keys);
  }
  return *keys;
}

auto KeySimulation::NodeOf(InstanceId id) const -> std::size_t {
  const auto found =
      std::find_if(nodes_.begin(), nodes_.end(),
                   [id](const Node& node) { return node.id == id; });
  return static_cast<std::size_t>(found - nodes_.begin());
}

void KeySimulation::SetView(std::size_t node,
                            const std::set<std::size_t>& serving) {
  auto view = MemberView();
  view.self = nodes_[node].id;
  view.data_centre = IdFromName<DataCentreId>(nodes_[node].member.data_centre);
  for (const auto at : serving) {
    auto member = Member();
    member.id = nodes_[at].id;
    member.data_centre =
        IdFromName<DataCentreId>(nodes_[at].member.data_centre);
    member.started = nodes_[at].member.started;
    view.members.push_back(member);
  }
  std::sort(
      view.members.begin(), view.members.end(),
      [](const Member& one, const Member& other) { return one.id < other.id; });
  auto actions = RequestActions();
  MutableKeys(node).OnMembers(view, actions, now_);
  ProcessActions(node, actions, {});
}

auto KeySimulation::Arrive(std::size_t node, IdempotencyKey key)
    -> std::size_t {
  const auto number = attempts_.size();
  attempts_.push_back(
      SimulatedAttempt{node, key, AttemptState::kWaiting, now_, {}});
  auto arrival = RequestArrival();
  arrival.request = RequestId(number);
  arrival.service = config_->services.front()->id;
  arrival.key = key;
  arrival.deadline = now_ + kRequestTimeout;
  auto actions = RequestActions();
  const auto state = MutableKeys(node).Claim(arrival, actions, now_);
  if (state) {
    Decide(number, *state);
  }
  if (fault_.one_grant_suffices) {
    GrantForAll(node, number);
  }
  ProcessActions(node, actions, {});
  return number;
}

void KeySimulation::GrantForAll(std::size_t node, std::size_t attempt) {
  const auto grant =
      KeyVerdict{attempts_[attempt].key, RequestId(attempt), KeyState::kFree};
  for (const auto& other : nodes_) {
    auto actions = RequestActions();
    const auto verdicts =
        MutableKeys(node).OnMessage(other.id, grant, actions, now_);
    ProcessActions(node, actions, verdicts);
  }
}

void KeySimulation::Send(std::size_t attempt) {
  auto& sent = attempts_[attempt];
  const auto may_send =
      nodes_[sent.node].keys->MaySend(RequestId(attempt), now_);
  if (!may_send && !fault_.sends_without_check) {
    Settle(attempt, KeyState::kNotRun);
    return;
  }
  sent.state = AttemptState::kRan;
  sent.ran = now_;
  CheckRun(sent);
}

void KeySimulation::CheckRun(const SimulatedAttempt& attempt) {
  for (const auto& other : attempts_) {
    if (&other != &attempt && other.key == attempt.key &&
        other.state == AttemptState::kRan &&
        other.ran + kSimulationMemory > attempt.ran) {
      ++doubled_;
    }
  }
}

void KeySimulation::Settle(std::size_t attempt, KeyState state) {
  auto& settled = attempts_[attempt];
  if (state == KeyState::kNotRun) {
    settled.state = AttemptState::kNotRun;
  }
  auto actions = RequestActions();
  MutableKeys(settled.node)
      .Settle(KeyVerdict{settled.key, RequestId(attempt), state}, actions,
              now_);
  ProcessActions(settled.node, actions, {});
}

void KeySimulation::Deliver(const Packet& packet, bool keep) {
  const auto delivered = packet;
  if (!keep) {
    network_.erase(packet);
  }
  if (!IsRunning(delivered.to)) {
    return;
  }
  const auto message = Decode(delivered.text);
  auto actions = RequestActions();
  const auto verdicts =
      MutableKeys(delivered.to)
          .OnMessage(nodes_[delivered.from].id, message, actions, now_);
  ProcessActions(delivered.to, actions, verdicts);
}

void KeySimulation::DropObsolete() {
  std::erase_if(network_, [this](const Packet& packet) {
    if (!nodes_[packet.to].is_alive) {
      return true;
    }
    return packet.verdict_for &&
           attempts_[*packet.verdict_for].state != AttemptState::kWaiting;
  });
}

auto KeySimulation::DeliverVerdict() -> bool {
  const auto found = std::find_if(
      network_.begin(), network_.end(), [this](const Packet& packet) {
        return packet.verdict_for && IsRunning(packet.to);
      });
  if (found == network_.end()) {
    return false;
  }
  Deliver(*found, false);
  return true;
}

void KeySimulation::Tick(std::size_t node) {
  if (!IsRunning(node)) {
    return;
  }
  auto actions = RequestActions();
  const auto verdicts = MutableKeys(node).OnTick(actions, now_);
  ProcessActions(node, actions, verdicts);
}

void KeySimulation::Leave(std::size_t node) {
  auto actions = RequestActions();
  MutableKeys(node).BeginLeave(actions, now_);
  ProcessActions(node, actions, {});
}

void KeySimulation::ProcessActions(std::size_t node,
                                   const RequestActions& actions,
                                   const std::vector<KeyVerdict>& verdicts) {
  for (const auto& action : actions) {
    const auto& sent = std::get<SendRequestMessage>(action);
    const auto to = NodeOf(sent.to);
    if (!nodes_[to].is_alive) {
      continue;
    }
    auto packet = Packet{node, to, Encode(sent.message), std::nullopt};
    if (const auto* verdict = std::get_if<KeyVerdict>(&sent.message)) {
      packet.verdict_for = verdict->request.value();
    }
    network_.insert(std::move(packet));
  }
  for (const auto& verdict : verdicts) {
    Decide(verdict.request.value(), verdict.state);
  }
}

void KeySimulation::Decide(std::size_t attempt, KeyState state) {
  auto& decided = attempts_[attempt];
  switch (state) {
    case KeyState::kFree:
      decided.state = AttemptState::kMayRun;
      return;
    case KeyState::kRunning:
      decided.state = AttemptState::kInProgress;
      return;
    case KeyState::kRefused:
      break;
    default:
      decided.state = AttemptState::kUnknown;
      return;
  }
  decided.state = AttemptState::kNotRun;
  const auto has_run = std::any_of(
      attempts_.begin(), attempts_.end(), [&](const SimulatedAttempt& other) {
        return other.key == decided.key && other.state == AttemptState::kRan &&
               other.ran + kSimulationMemory > now_;
      });
  false_not_run_ += has_run ? 1 : 0;
}

auto KeySimulation::Fingerprint() const -> std::uint64_t {
  auto digest =
      HashBytes("world", static_cast<std::uint64_t>(ToUnixMillis(now_)));
  const auto add = [&digest](std::uint64_t word) {
    digest = MixWords(digest, word);
  };
  for (const auto& node : nodes_) {
    if (node.digest == 0) {
      node.digest = HashBytes(node.keys->Describe());
    }
    add(node.digest);
    add((node.is_alive ? 1U : 0U) + (node.is_paused ? 2U : 0U));
  }
  for (const auto& attempt : attempts_) {
    add(static_cast<std::uint64_t>(attempt.state));
    add(static_cast<std::uint64_t>(ToUnixMillis(attempt.ran)));
  }
  for (const auto& packet : network_) {
    add(packet.from * nodes_.size() + packet.to);
    add(HashBytes(packet.text));
  }
  return digest;
}

}  // namespace hemlockwick
