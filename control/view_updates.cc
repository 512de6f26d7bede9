// Updates between daemons: the part of the view keeper that packs, relays and
// applies them.

#include "control/control.h"

#include <algorithm>
#include <limits>

namespace parsleyyard {

namespace {

// Values of fewer bytes are sent whole: a delta saves nothing.
constexpr std::size_t kMinDeltaBytes = 4096;
// In a region with more peers than this, all daemons but the first two wait at
// their start for the full view from those two: the configuration of a large
// fleet has hundreds of kilobytes, and the link between two regions can carry
// it only a few times per second.
constexpr std::size_t kSmallRegionPeers = 8;
constexpr std::size_t kStartupReaders = 2;
// An unlisted daemon requests updates at this interval. A peer sends it updates
// until no request has arrived for the timeout.
constexpr duration kUpdateRequestInterval = std::chrono::milliseconds(500);
constexpr duration kSubscriptionTimeout = std::chrono::milliseconds(1600);
// An update without a newer revision that confirms the view by no more than
// this is a duplicate. Forwarding it would create a loop between two daemons
// that requested updates from each other.
constexpr duration kDuplicateUpdateWindow = std::chrono::milliseconds(100);

std::uint32_t ToMilliseconds(duration value) {
  return static_cast<std::uint32_t>(
      std::max<duration::rep>(0, value.count() / 1000));
}

}  // namespace

// True if two other daemons of the region read the whole store at its start and
// send it to this one.
bool view_keeper::WaitsForStartupReaders() const {
  return CountPeersInRegion() > kSmallRegionPeers && IsListed() &&
         RankInRegion("") >= kStartupReaders;
}

view_update view_keeper::EmptyUpdate(std::uint64_t from) const {
  view_update update{
      .root = options_.address,
      .cover_from = relay_range().first,
      .cover_to = relay_range().last,
      .from_revision = from,
      .removals_held_ms = ToMilliseconds(removals_held_until_ - clock_.Now())};
  StampUpdate(update);
  return update;
}

// Sets the revision that the update leads to, and the age of the view.
void view_keeper::StampUpdate(view_update& update) const {
  update.to_revision = revision_;
  update.age_ms = ToMilliseconds(Age(clock_.Now()));
}

// `base` is the cached item of the same key from before the change.
view_item view_keeper::PackItem(const source_item& item,
                                const cached_item& base) {
  view_item packed_item{.key = item.key,
                        .revision = item.revision,
                        .removed = item.removed,
                        .size = static_cast<std::uint32_t>(item.value.size())};
  const bool delta = base.value.size() >= kMinDeltaBytes && !item.removed;
  if (delta) {
    packed_item.base_revision = base.revision;
  }
  if (!item.removed) {
    packed_item.packed = Pack(item.value, delta ? &base.value : nullptr);
  }
  return packed_item;
}

// Sends a copy of an update, whose age is the one of this moment.
void view_keeper::Send(const host_address& to, view_update copy) const {
  copy.sender = options_.incarnation;
  copy.sent_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(clock_.Now())
          .count();
  transport_.SendUpdate(to, copy);
}

void view_keeper::Relay(const view_update& message,
                        const std::vector<relay_step>& steps) const {
  for (const relay_step& step : steps) {
    view_update copy = message;
    copy.cover_from = step.range.first;
    copy.cover_to = step.range.last;
    Send(step.receiver, copy);
  }
}

std::optional<std::vector<source_item>> view_keeper::UnpackItems(
    const view_update& message) const {
  std::vector<source_item> items;
  for (const view_item& offered : message.items) {
    source_item item{.key = offered.key,
                     .revision = offered.revision,
                     .removed = offered.removed};
    const auto cached = items_.find(offered.key);
    const bool known = cached != items_.end();
    if (known && cached->second.revision >= offered.revision) {
      continue;
    }
    if (!offered.removed) {
      const bool has_base = offered.base_revision != 0 && known &&
                            cached->second.revision == offered.base_revision;
      if (offered.base_revision != 0 && !has_base) {
        return std::nullopt;
      }
      auto value = Unpack(offered.packed, offered.size,
                          has_base ? &cached->second.value : nullptr);
      if (!value) {
        return std::nullopt;
      }
      item.value = std::move(*value);
    }
    items.push_back(std::move(item));
  }
  return items;
}

// A full update does not list removals. This matters only to a daemon without a
// view: it has read the registrations, and some may have been removed since.
void view_keeper::DropItemsMissingFrom(const view_update& full_update) {
  if (revision_ != 0) {
    return;
  }
  std::set<std::string> present;
  for (const view_item& item : full_update.items) {
    present.insert(item.key);
  }
  std::erase_if(items_, [&](const auto& entry) {
    return !present.contains(entry.first) &&
           entry.second.revision <= full_update.to_revision;
  });
}

void view_keeper::OnUpdate(view_update message) {
  const instant now = clock_.Now();
  ObservePause(now);
  const instant news_at = now - std::chrono::milliseconds(message.age_ms);
  message.age_ms += ToMilliseconds(transit_clock_.Observe(
      message.sender, std::chrono::milliseconds(message.sent_ms), now));
  Relay(message,
        PlanWithinRange(options_.address, options_.region, message.root,
                        {.first = message.cover_from, .last = message.cover_to},
                        Peers(), options_.fan_out));
  const bool is_request = message.to_revision == 0;
  if (is_request) {
    subscribers_[message.root] = now;
    return;
  }
  const instant confirmed = now - std::chrono::milliseconds(message.age_ms);
  const bool is_new = message.to_revision > revision_ ||
                      confirmed > confirmed_at_ + kDuplicateUpdateWindow;
  if (is_new) {
    SendToSubscribers(message);
  }
  if (MayHaveMissedOutage(now)) {
    removals_held_until_ =
        std::max(removals_held_until_,
                 now + std::chrono::milliseconds(message.removals_held_ms));
  }
  if (message.to_revision < revision_) {
    return;
  }
  const auto items = UnpackItems(message);
  if (message.from_revision > revision_ || !items) {
    needs_catch_up_ = revision_ != 0;
    return;
  }
  const bool originator_comes_first =
      AddressOrder(message.root) < AddressOrder(options_.address);
  if (active_reader_ && originator_comes_first) {
    active_reader_ = false;
    Report("no longer active reader", options_.address,
           "a daemon earlier in the address order reads the store");
  }
  bool changed = revision_ == 0;
  if (message.from_revision == 0) {
    DropItemsMissingFrom(message);
  }
  for (const source_item& item : *items) {
    changed |= ApplyItem(item);
  }
  // No change is missing any more, but after a pause an own read is needed.
  needs_full_read_ = false;
  needs_catch_up_ &=
      pause_guard_.AwaitsConfirmation(own_read_confirmed_at_, now);
  const bool may_have_waited =
      pause_guard_.AwaitsConfirmation(own_read_confirmed_at_, now);
  ConfirmRevision(message.to_revision,
                  may_have_waited ? confirmed_at_ : confirmed,
                  may_have_waited ? news_at_ : news_at);
  if (changed) {
    PublishSnapshot();
  }
}

view_update view_keeper::BuildFullUpdate() const {
  view_update full_update = EmptyUpdate(0);
  for (const auto& [key, cached] : items_) {
    full_update.items.push_back(PackItem(
        {.key = key, .revision = cached.revision, .value = cached.value}, {}));
  }
  return full_update;
}

// Sends the full view to all daemons of a large region, which wait for it when
// the whole fleet starts. Only the first daemon of the region in the address
// order does so.
void view_keeper::SendFullUpdateToRegion() {
  if (CountPeersInRegion() <= kSmallRegionPeers || RankInRegion("") != 0) {
    return;
  }
  const relay_range all{.first = 0,
                        .last = std::numeric_limits<std::uint64_t>::max()};
  Relay(BuildFullUpdate(),
        PlanWithinRange(options_.address, options_.region, options_.address,
                        all, Peers(), options_.fan_out));
}

// Requests updates from the first two daemons of the region. To a daemon that
// has just started they also send the full view.
void view_keeper::RequestUpdates() const {
  std::map<std::uint64_t, host_address> peers_by_order;
  for (const relay_peer& peer : Peers()) {
    if (peer.region == options_.region) {
      peers_by_order[AddressOrder(peer.address)] = peer.address;
    }
  }
  std::size_t requested = 0;
  for (const auto& [order, address] : peers_by_order) {
    if (++requested <= kStartupReaders) {
      view_update request = EmptyUpdate(0);
      request.to_revision = 0;
      Send(address, request);
    }
  }
}

// Peers do not know of an unlisted daemon, whose instance is not registered yet
// or no longer. It requests updates from them at regular intervals.
void view_keeper::RequestUpdatesIfUnlisted(instant now) {
  if (revision_ == 0 || now < next_update_request_ || IsListed()) {
    return;
  }
  next_update_request_ = now + kUpdateRequestInterval;
  RequestUpdates();
}

void view_keeper::SendToSubscribers(const view_update& update) {
  const instant now = clock_.Now();
  std::erase_if(subscribers_, [&](const auto& subscriber) {
    return now - subscriber.second > kSubscriptionTimeout;
  });
  for (const auto& [address, requested_at] : subscribers_) {
    view_update copy = update;
    copy.cover_from = relay_range().first;
    copy.cover_to = relay_range().last;
    Send(address, copy);
  }
}

void view_keeper::OnPeerStarted(const host_address& peer) {
  if (revision_ == 0) {
    return;
  }
  const bool store_unavailable = Age(clock_.Now()) >= options_.stale_after;
  const bool waits_for_this_daemon = CountPeersInRegion() > kSmallRegionPeers &&
                                     IsInOwnRegion(peer) &&
                                     RankInRegion(peer) < kStartupReaders;
  if (store_unavailable || waits_for_this_daemon) {
    Send(peer, BuildFullUpdate());
  }
}

}  // namespace parsleyyard
