#include "Fleet/fleet_node.h"

#include <algorithm>
#include <utility>

#include "Fleet/config_sync.h"
#include "Fleet/failure_detector.h"
#include "Fleet/instance_list.h"
#include "Fleet/node_state.h"
#include "Fleet/platform_reader.h"

namespace hemlockwick {

namespace {

// When a call comes this much later than the tick that was due, the process is
// taken to have been suspended in between.
constexpr Duration kPauseThreshold = std::chrono::milliseconds(500);

// The view is published again when its `refreshed` time has advanced by this
// much.
constexpr Duration kViewRefreshInterval = std::chrono::milliseconds(250);

// Number of peers that an instance sends gossip to when it detects or learns of
// a join, death or leave, and the shortest time between two such rounds.
constexpr std::size_t kGossipFanOut = 6;
constexpr Duration kMinGossipInterval = std::chrono::milliseconds(200);

// Number of peers that are notified of a planned stop.
constexpr std::size_t kLeaveFanOut = 6;

auto MakeSelf(const FleetSettings& settings, TimePoint now) -> Member {
  auto self = Member();
  self.id = IdFromName<InstanceId>(settings.name);
  self.name = settings.name;
  self.data_centre = IdFromName<DataCentreId>(settings.data_centre);
  self.http_address = settings.http_address;
  self.packet_address = settings.packet_address;
  // A restarted process has a higher incarnation, so that it overrides claims
  // about the earlier process of the same name.
  self.incarnation = static_cast<std::uint64_t>(ToUnixMillis(now));
  self.started = now;
  return self;
}

}  // namespace

class FleetNode::Impl {
 public:
  Impl(const FleetSettings& settings, EventLog& events, TimePoint now)
      : state_(MakeSelf(settings, now), events, settings.random_seed, now),
        detector_(state_, settings.seeds, now),
        reader_(state_, now),
        sync_(state_, reader_, !settings.seeds.empty(), now),
        previous_call_(now),
        next_tick_(now) {
    state_.last_contact = now;
    state_.refreshed = now;
    RebuildView();
  }

  auto OnTick(TimePoint now) -> FleetActions {
    BeginCall(now);
    RunDue(now);
    return FinishCall(now);
  }

  [[nodiscard]] auto NextTick() const -> TimePoint { return next_tick_; }

  auto OnPlatformAnswer(const PlatformAnswer& answer, TimePoint now)
      -> FleetActions {
    BeginCall(now);
    if (reader_.OnAnswer(answer, now)) {
      Dispatch(answer, now);
    }
    return FinishCall(now);
  }

  auto OnMessage(InstanceId from, const FleetMessage& message, TimePoint now)
      -> FleetActions {
    BeginCall(now);
    state_.last_contact = now;
    std::visit([this, from,
                now](const auto& typed) { HandleMessage(from, typed, now); },
               message);
    return FinishCall(now);
  }

  auto OnSendFailed(InstanceId to, TimePoint now) -> FleetActions {
    BeginCall(now);
    detector_.OnSendFailed(to, now);
    sync_.OnSendFailed(to, now);
    return FinishCall(now);
  }

  auto BeginLeave(TimePoint now) -> FleetActions {
    BeginCall(now);
    state_.members.Leave(now);
    state_.view_changed = true;
    state_.SendGossip(kLeaveFanOut, now);
    return FinishCall(now);
  }

  [[nodiscard]] auto config() const -> std::shared_ptr<const FleetConfig> {
    return state_.store.config();
  }
  [[nodiscard]] auto view() const -> const MemberView& { return view_; }
  [[nodiscard]] auto budget() const -> const ByteBudget& {
    return state_.outbox.budget();
  }

 private:
  // Detects that the process was suspended, and resets the state that has
  // become outdated.
  void BeginCall(TimePoint now) {
    const auto due = std::max(next_tick_, previous_call_);
    previous_call_ = now;
    if (now - due <= kPauseThreshold) {
      return;
    }
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - due);
    state_.events.Record(EventKind::kProcessPaused, own_name(),
                         std::to_string(millis.count()) + " ms", now);
    detector_.OnPause(now);
    reader_.OnPause(now);
    sync_.OnPause(now);
  }

  void RunDue(TimePoint now) {
    detector_.OnTick(now);
    reader_.OnTick(now);
    sync_.OnTick(now);
  }

  auto FinishCall(TimePoint now) -> FleetActions {
    if (state_.members.TakeUrgentChange()) {
      next_gossip_ = std::min(next_gossip_,
                              std::max(now, last_gossip_ + kMinGossipInterval));
    }
    if (now >= next_gossip_) {
      next_gossip_ = TimePoint::max();
      last_gossip_ = now;
      state_.SendGossip(kGossipFanOut, now);
    }
    PublishView(now);
    next_tick_ =
        std::min({detector_.NextTick(), reader_.NextTick(), sync_.NextTick()});
    // A tick may be overdue because another call came first.
    next_tick_ = std::max(next_tick_, now);
    return state_.outbox.Take();
  }

  void PublishView(TimePoint now) {
    if (HasNoLivePeer()) {
      state_.refreshed = now;
    }
    if (state_.view_changed) {
      state_.view_changed = false;
      RebuildView();
      RecordPartitions(now);
      state_.outbox.Add(MembersChanged{});
    } else if (state_.refreshed - view_.refreshed >= kViewRefreshInterval) {
      view_.refreshed = state_.refreshed;
      state_.outbox.Add(MembersChanged{});
    }
  }

  void RebuildView() { view_ = state_.members.View(state_.refreshed); }

  [[nodiscard]] auto HasNoLivePeer() const -> bool {
    return std::none_of(view_.members.begin(), view_.members.end(),
                        [this](const Member& member) {
                          return member.id != view_.self &&
                                 (member.state == MemberState::kAlive ||
                                  member.state == MemberState::kLeaving);
                        });
  }

  void RecordPartitions(TimePoint now) {
    const auto describe = [this](DataCentreId id) {
      auto names = std::string();
      for (const auto& member : view_.members) {
        if (member.data_centre == id) {
          names += (names.empty() ? "" : " ") + member.name;
        }
      }
      return names;
    };
    const auto contains = [](const std::vector<DataCentreId>& ids,
                             DataCentreId id) {
      return std::find(ids.begin(), ids.end(), id) != ids.end();
    };
    for (const auto id : view_.unreachable) {
      if (!contains(unreachable_, id)) {
        state_.events.Record(EventKind::kPartitionBegun, describe(id), "", now);
      }
    }
    for (const auto id : unreachable_) {
      if (!contains(view_.unreachable, id)) {
        state_.events.Record(EventKind::kPartitionEnded, describe(id), "", now);
      }
    }
    unreachable_ = view_.unreachable;
  }

  [[nodiscard]] auto own_name() const -> const std::string& {
    return state_.members.self().member.name;
  }

  void Dispatch(const PlatformAnswer& answer, TimePoint now) {
    const auto has_value = answer.status == PlatformStatus::kValue;
    if (answer.key == kInstanceListKey) {
      if (has_value) {
        ApplyInstanceList(answer.body, now);
      }
    } else if (answer.key == kIndexKey) {
      if (has_value) {
        sync_.OnIndex(answer.body, now);
      }
    } else {
      sync_.OnShard(has_value ? answer.body : std::string(), now);
    }
  }

  void ApplyInstanceList(const std::string& body, TimePoint now) {
    const auto reason = TryOr(
        [this, &body, now]() -> Result<std::string> {
          BOOST_LEAF_AUTO(list, DecodeInstanceList(body));
          state_.view_changed =
              state_.members.ApplyList(list, now) || state_.view_changed;
          state_.has_list = true;
          detector_.OnInstanceList(now);
          return std::string();
        },
        [](const Error& error) { return error.message; });
    if (!reason.empty() && reason != list_problem_) {
      state_.events.Record(EventKind::kVersionRefused,
                           std::string(kInstanceListKey), reason, now);
    }
    list_problem_ = reason;
  }

  void HandleMessage(InstanceId from, const Probe& probe, TimePoint now) {
    // When the adapter does not know the sender's identity, the first update is
    // the sender's own record.
    const auto is_unknown = from == InstanceId() && !probe.updates.empty();
    const auto sender = is_unknown ? probe.updates.front().member.id : from;
    state_.ApplyCommonFields(sender, probe, now);
    detector_.OnProbe(sender, probe, now);
    sync_.OnAdvertised(sender, probe.version, probe.digest, now);
  }
  void HandleMessage(InstanceId from, const ProbeAck& ack, TimePoint now) {
    state_.ApplyCommonFields(from, ack, now);
    detector_.OnProbeAck(from, ack, now);
    sync_.OnAdvertised(from, ack.version, ack.digest, now);
  }
  void HandleMessage(InstanceId from, const ProbeRequest& request,
                     TimePoint now) {
    state_.members.RecordContact(from, now);
    detector_.OnProbeRequest(from, request, now);
  }
  void HandleMessage(InstanceId from, const ConfigFetch& fetch, TimePoint now) {
    state_.members.RecordContact(from, now);
    sync_.OnFetch(from, fetch, now);
  }
  void HandleMessage(InstanceId from, const ConfigOffer& offer, TimePoint now) {
    state_.members.RecordContact(from, now);
    sync_.OnOffer(from, offer, now);
  }
  void HandleMessage(InstanceId from, const Gossip& gossip, TimePoint now) {
    state_.ApplyCommonFields(from, gossip, now);
    detector_.OnGossip(from, gossip, now);
    sync_.OnGossip(from, gossip, now);
  }

  NodeState state_;
  FailureDetector detector_;
  PlatformReader reader_;
  ConfigSync sync_;
  MemberView view_;
  std::vector<DataCentreId> unreachable_;
  std::string list_problem_;
  TimePoint previous_call_;
  TimePoint next_tick_;
  TimePoint next_gossip_ = TimePoint::max();
  TimePoint last_gossip_;
};

FleetNode::FleetNode(const FleetSettings& settings, EventLog& events,
                     TimePoint now)
    : impl_(std::make_unique<Impl>(settings, events, now)) {}

FleetNode::~FleetNode() = default;

auto FleetNode::OnTick(TimePoint now) -> FleetActions {
  return impl_->OnTick(now);
}

auto FleetNode::NextTick() const -> TimePoint { return impl_->NextTick(); }

auto FleetNode::OnPlatformAnswer(const PlatformAnswer& answer, TimePoint now)
    -> FleetActions {
  return impl_->OnPlatformAnswer(answer, now);
}

auto FleetNode::OnMessage(InstanceId from, const FleetMessage& message,
                          TimePoint now) -> FleetActions {
  return impl_->OnMessage(from, message, now);
}

auto FleetNode::OnSendFailed(InstanceId to, TimePoint now) -> FleetActions {
  return impl_->OnSendFailed(to, now);
}

auto FleetNode::BeginLeave(TimePoint now) -> FleetActions {
  return impl_->BeginLeave(now);
}

auto FleetNode::config() const -> std::shared_ptr<const FleetConfig> {
  return impl_->config();
}

auto FleetNode::members() const -> const MemberView& { return impl_->view(); }

auto FleetNode::sent_bytes() const -> std::uint64_t {
  return impl_->budget().sent();
}

auto FleetNode::refused_sends() const -> std::uint64_t {
  return impl_->budget().refused();
}

}  // namespace hemlockwick
